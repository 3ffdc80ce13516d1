//! What operators ask of the reducer at their door, and the reloads they cause: answered from the state that the
//! reducer owns, with the readiness and the drain of [`crate::admin`] and the figures of [`crate::tally`].

use super::Reducer;
use crate::admin::{AdminAnswer, AdminCall, CallId, NotReady, Standing};
use crate::classes::Retuned;
use crate::messages::Effect;
use gradepin_decisions::Settings;
use slog::Level;
use std::sync::Arc;

impl Reducer {
    /// An operator's call; each is answered in this step.
    pub(super) fn admin(&mut self, id: CallId, call: AdminCall) {
        let answer = match self.door.order(self.moment.now, call) {
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
            None => {
                let open = self.requests.values().filter(|open| open.owed).count();
                AdminAnswer::Stats(Box::new(self.tally.stats(open as u64)))
            }
        };
        self.effects.push(Effect::Admin(id, answer));
    }

    /// Whether this process is ready to serve, and if not, why.
    pub(super) fn ready(&self) -> Result<(), NotReady> {
        let well = self.active && !self.registration.is_out();
        self.door.ready(Standing { processor: self.controller.is_some(), well, leaving: self.leaving })
    }

    /// New settings are in force: the module and the shell take them, and the log says what changed.
    pub(super) fn retuned(&mut self, retuned: &Retuned) {
        self.settings = Arc::clone(self.classes.settings());
        if let Some(controller) = &mut self.controller {
            controller.retune(Settings::clone(&self.settings));
        }
        self.effects.push(Effect::Settings(Arc::clone(&self.settings)));
        let Retuned { added, dropped, back } = retuned;
        let text = format!("settings in force: classes added {added:?}, dropped {dropped:?}, back {back:?}");
        self.log(Level::Info, text);
    }

    /// A file read at a reload could not be used; the configuration in force stays.
    pub(super) fn reload_refused(&mut self, why: String) {
        self.tally.reloaded(false);
        self.log(Level::Error, format!("the configuration was turned down, all stays as it was: {why}"));
    }
}
