//! What operators ask of the reducer at their door: answered from the state that the
//! reducer owns, with the readiness and the drain of [`crate::admin`] and the figures of [`crate::tally`].

use super::Reducer;
use crate::admin::{AdminAnswer, AdminCall, CallId, NotReady, Standing};
use crate::messages::Effect;
use crate::tally::Stats;
use slog::Level;

impl Reducer {
    /// An operator's call; each is answered in this step.
    pub(super) fn admin(&mut self, id: CallId, call: AdminCall) {
        if let AdminCall::Agreed(call) = call {
            let answer = AdminAnswer::Agreed(self.agreed_call(call));
            return self.effects.push(Effect::Admin(id, answer));
        }
        if let AdminCall::Configuration(call) = call {
            let answer = AdminAnswer::Configuration(Box::new(self.configuration_call(call)));
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
                let configuration = self.committed.figures(self.moment.now);
                AdminAnswer::Stats(Box::new(Stats { fleet, configuration, ..self.tally.stats(open as u64) }))
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
}
