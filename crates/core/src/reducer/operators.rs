//! What operators ask of the reducer at their door: answered from the state that the
//! reducer owns, with the readiness and the drain of [`crate::admin`] and the figures of [`crate::request_metrics`].

use super::Reducer;
use crate::admin::{AdminRequest, AdminRequestId, AdminResponse, NotReadyReason, ReadinessInputs};
use crate::messages::Effect;
use crate::request_metrics::MetricsSnapshot;
use slog::Level;

impl Reducer {
    /// An operator's call; each is answered in this step.
    pub(super) fn admin(&mut self, id: AdminRequestId, call: AdminRequest) {
        if let AdminRequest::Agreement(call) = call {
            let answer = AdminResponse::Agreement(self.agreed_call(call));
            return self.effects.push(Effect::AnswerAdmin { id, response: answer });
        }
        if let AdminRequest::Configuration(call) = call {
            let answer = AdminResponse::Configuration(Box::new(self.configuration_call(call)));
            return self.effects.push(Effect::AnswerAdmin { id, response: answer });
        }
        let answer = match self.door.order(self.moment.now, &call) {
            Some(done) => {
                if let AdminResponse::DrainState { draining, changed: true } = done {
                    // The control plane and health checks hear of it at once.
                    self.changed();
                    let text = if draining { "drained at the operators' call" } else { "back to work" };
                    self.log(Level::Info, text.into());
                }
                done
            }
            None if call == AdminRequest::Health => AdminResponse::Health(self.ready()),
            None if call == AdminRequest::Fleet => AdminResponse::Fleet(self.fleet.view(self.moment.now)),
            None => {
                let open = self.requests.owed();
                let fleet = self.fleet.status(self.moment.now);
                let configuration = self.committed.figures(self.moment.now);
                AdminResponse::Stats(Box::new(MetricsSnapshot {
                    fleet,
                    configuration,
                    ..self.tally.stats(open as u64)
                }))
            }
        };
        self.effects.push(Effect::AnswerAdmin { id, response: answer });
    }

    /// Whether this process is ready to serve, and if not, why.
    pub(super) fn ready(&self) -> Result<(), NotReadyReason> {
        let well = self.active && !self.registration.is_out();
        self.door.ready(ReadinessInputs {
            processor: self.controller.is_some(),
            well,
            leaving: self.drain.is_told(),
        })
    }
}
