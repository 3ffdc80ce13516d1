//! Reload of the settings file (SIGHUP). Its changes of classes and tenants are applied in order, a limited number per
//! step, so that requests are served meanwhile. The rest of the file takes effect with the last of them.
//!
//! The shell reads the file and compares it with the active names ([`crate::reload`]). Only one file is applied at a
//! time, and an invalid file changes nothing.

use super::apply_summary::{ApplyError, ApplySummary, NameDemand};
use super::{MS, Reducer};
use crate::config::Config;
use crate::messages::Effect;
use crate::reload::Reload;
use gradepin_admission::{Settings, Span, UpstreamKind};
use slog::Level;
use std::net::SocketAddr;

/// Maximum number of a file's changes that one step applies, which limits the delay of requests.
const MAX_CHANGES_PER_STEP: usize = 64;

/// Why a reloaded settings file can't be applied.
#[derive(Debug, PartialEq, thiserror::Error)]
enum ReloadError {
    /// The previous file is still being applied.
    #[error("expected the previous settings file to be completely applied, got another one")]
    ReloadUnderWay,
    /// The active names have changed since the file was compared with them.
    #[error("expected settings that were unchanged since the file was compared with them, got a change")]
    StaleComparison,
    /// The file has more classes or tenants than there are free slots.
    #[error(transparent)]
    TooMany(#[from] ApplyError),
}

#[derive(Debug)]
pub(super) struct PendingReload {
    reload: Box<Reload>,
    /// Number of the file's changes applied so far.
    pub(super) applied_changes: usize,
    summary: ApplySummary,
}

impl Reducer {
    /// Reports a settings file that can't be used; the active settings stay in force.
    pub(super) fn reload_rejected(&mut self, reason: &str) {
        self.metrics.count_reload(false);
        let text =
            format!("reload: the settings file was turned down; the active settings stay in force: {reason}");
        self.log(Level::Error, text);
        self.effects.push(Effect::ReloadFinished);
    }

    /// Starts to apply a settings file. Its classes, tenants and rules are ignored if they come from committed
    /// revisions.
    pub(super) fn reload(&mut self, mut reload: Box<Reload>) {
        if self.settings_changes.is_committed {
            reload.changes.clear();
            (reload.new_classes, reload.new_tenants) = (0, 0);
        } else if let Err(error) = self.check_reload(&reload) {
            return self.reload_rejected(&error.to_string());
        }
        let summary = ApplySummary::default();
        self.settings_changes.reload = Some(PendingReload { reload, applied_changes: 0, summary });
        self.reload_step();
    }

    fn check_reload(&self, reload: &Reload) -> Result<(), ReloadError> {
        if self.settings_changes.is_reloading() {
            return Err(ReloadError::ReloadUnderWay);
        }
        if reload.compared_edition != self.settings_changes.edition {
            return Err(ReloadError::StaleComparison);
        }
        // The number of names in force is checked when the file is parsed; only new slots are checked here.
        let classes = NameDemand { in_force: 0, new: reload.new_classes };
        let tenants = NameDemand { in_force: 0, new: reload.new_tenants };
        Ok(self.check_slots(classes, tenants)?)
    }

    /// Applies the next changes of a settings file, and the rest of the file with the last of them.
    pub(super) fn reload_step(&mut self) {
        let Some(mut pending) = self.settings_changes.reload.take() else { return };
        let changes = &pending.reload.changes;
        let end = changes.len().min(pending.applied_changes + MAX_CHANGES_PER_STEP);
        for change in &changes[pending.applied_changes..end] {
            self.apply(change, &mut pending.summary);
        }
        let is_complete = end == changes.len();
        pending.applied_changes = end;
        self.settings_changes.end_edition();
        self.publish_names();
        if is_complete {
            self.finish_reload(pending.reload.config, &pending.summary);
        } else {
            self.settings_changes.reload = Some(pending);
        }
    }

    /// Applies the rest of a file whose classes and tenants are in force.
    fn finish_reload(&mut self, mut config: Config, summary: &ApplySummary) {
        self.metrics.count_reload(true);
        let called_upstream = self.settings.specifics.upstream == UpstreamKind::Shared;
        self.replace_file_settings(std::mem::take(&mut config.settings));
        self.log_summary(summary);
        if (&config.name, config.listen) != (&self.config.name, self.config.listen) {
            self.log(
                Level::Warning,
                "reload: a changed name or listen address takes effect only after a restart".into(),
            );
        }
        self.update_addresses(&config, called_upstream);
        // The control plane may be a new one, which must learn of this server at once, whether or not it has the list
        // of the old one.
        self.report_change();
        self.drain.configured_stop = Span(config.stop_ms.saturating_mul(MS));
        self.bring_stop_forward();
        let (processor, control) = (config.processor, config.control);
        self.log(Level::Info, format!("reloaded: the processor is at {processor}, control at {control}"));
        (self.config.processor, self.config.control) = (processor, control);
        self.effects.push(Effect::ReloadFinished);
    }

    fn replace_file_settings(&mut self, mut settings: Settings) {
        if self.settings_changes.is_committed {
            settings.rules = self.settings.rules.clone();
            settings.over_quota_weight = self.settings.over_quota_weight;
            let text = "classes, tenants and rules hold as committed; those of the settings file are ignored";
            self.log(Level::Info, text.into());
        }
        self.replace_settings(settings);
    }

    /// Sends changed addresses to the shell. `called_upstream` says whether the old settings had calls to the shared
    /// upstream.
    fn update_addresses(&mut self, config: &Config, called_upstream: bool) {
        if config.processor != self.config.processor {
            self.effects.push(Effect::SetProcessorAddress(config.processor));
        }
        if config.control != self.config.control {
            self.effects.push(Effect::SetControlAddress(config.control));
        }
        let calls_upstream = self.settings.specifics.upstream == UpstreamKind::Shared;
        let starts_to_call = calls_upstream && !called_upstream;
        let is_new = |upstream: &SocketAddr| Some(*upstream) != self.config.upstream || starts_to_call;
        if let Some(upstream) = config.upstream.filter(is_new) {
            // Calls in flight finish at the old address; new calls use the new one.
            self.effects.push(Effect::SetUpstreamAddress(upstream));
            self.config.upstream = Some(upstream);
        }
    }
}
