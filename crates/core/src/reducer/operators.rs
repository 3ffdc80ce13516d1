//! What operators ask of the reducer at their door, and the reloads they cause: answered from the state that the
//! reducer owns, with the readiness and the drain of [`crate::admin`] and the figures of [`crate::tally`].

use super::{MS, Reducer};
use crate::admin::{AdminAnswer, AdminCall, CallId, NotReady, Standing};
use crate::classes::Retuned;
use crate::config::Config;
use crate::messages::Effect;
use crate::tally::Stats;
use gradepin_decisions::{Settings, Span};
use slog::Level;
use std::sync::Arc;

impl Reducer {
    /// An operator's call; each is answered in this step.
    pub(super) fn admin(&mut self, id: CallId, call: AdminCall) {
        if let AdminCall::Agreed(call) = call {
            let answer = AdminAnswer::Agreed(self.agreed_call(call));
            return self.effects.push(Effect::Admin(id, answer));
        }
        let answer = match self.door.order(self.moment.now, &call) {
            Some(done) => {
                if let AdminAnswer::Done { failed, changed: true } = done {
                    // The control plane and health checks hear of it at once.
                    self.changed();
                    let text = if failed { "drained at the operators' call" } else { "back to work" };
                    self.log(Level::Info, text.into());
                }
                done
            }
            None if call == AdminCall::Health => AdminAnswer::Health(self.ready()),
            None if call == AdminCall::Fleet => AdminAnswer::Fleet(self.fleet.view(self.moment.now)),
            None => {
                let open = self.requests.owed();
                let fleet = self.fleet.status(self.moment.now);
                AdminAnswer::Stats(Box::new(Stats { fleet, ..self.tally.stats(open as u64) }))
            }
        };
        self.effects.push(Effect::Admin(id, answer));
    }

    /// Whether this process is ready to serve, and if not, why.
    pub(super) fn ready(&self) -> Result<(), NotReady> {
        let well = self.active && !self.registration.is_out();
        self.door.ready(Standing {
            processor: self.controller.is_some(),
            well,
            leaving: self.drain.is_told(),
        })
    }

    /// The module and the fleet go by the settings in force now.
    pub(super) fn goes_by_settings(&mut self) {
        self.settings = self.classes.in_force();
        if let Some(controller) = &mut self.controller {
            controller.retune(Settings::clone(&self.settings));
        }
        self.fleet_retuned();
    }

    /// New settings are in force: the module and the shell take them, and the log says what changed.
    pub(super) fn retuned(&mut self, retuned: &Retuned) {
        self.goes_by_settings();
        self.effects.push(Effect::Settings(Arc::clone(self.classes.settings())));
        let Retuned { added, dropped, back } = retuned;
        let text = format!("settings in force: classes added {added:?}, dropped {dropped:?}, back {back:?}");
        self.log(Level::Info, text);
    }

    /// A file read at a reload could not be used; the configuration in force stays.
    pub(super) fn reload_refused(&mut self, why: String) {
        self.tally.reloaded(false);
        self.log(Level::Error, format!("the configuration was turned down, all stays as it was: {why}"));
    }

    /// Takes over what may change while serving: where the other parties are, and the time to stop.
    pub(super) fn reload(&mut self, config: Config) {
        // The settings first: where they can't be taken, the file is turned down whole.
        let retuned = match self.classes.retune(self.moment.now, &config.settings) {
            Ok(retuned) => retuned,
            Err(why) => return self.reload_refused(why.to_string()),
        };
        self.tally.reloaded(true);
        self.retuned(&retuned);
        if (&config.name, config.listen) != (&self.config.name, self.config.listen) {
            self.log(Level::Warning, "a new name or address to listen on takes a restart".into());
        }
        if config.processor != self.config.processor {
            self.effects.push(Effect::Processor(config.processor));
        }
        if config.control != self.config.control {
            self.effects.push(Effect::Control(config.control));
        }
        if let Some(ledger) = config.ledger.filter(|ledger| Some(*ledger) != self.config.ledger) {
            // Calls out to the old address end there; new ones go to the new.
            self.effects.push(Effect::Ledger(ledger));
            self.config.ledger = Some(ledger);
        }
        // The new control plane is to hear of this server at once, whether or not it knows the old one's list.
        self.changed();
        self.drain.stop = Span(config.stop_ms.saturating_mul(MS));
        let (processor, control) = (config.processor, config.control);
        self.log(Level::Info, format!("reloaded: the processor is at {processor}, control at {control}"));
        (self.config.processor, self.config.control) = (processor, control);
    }
}
