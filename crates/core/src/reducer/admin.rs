//! What operators ask of the reducer at their door: answered from the state that the
//! reducer owns, with the readiness and the drain of [`crate::admin`] and the figures of [`crate::request_metrics`].

use super::Reducer;
use crate::admin::{AdminRequest, AdminRequestId, AdminResponse, NotReadyReason, ReadinessInputs};
use crate::messages::Effect;
use crate::request_metrics::MetricsSnapshot;
use slog::Level;

impl Reducer {
    /// An operator's call; each is answered in this step.
    pub(super) fn admin_request(&mut self, id: AdminRequestId, call: AdminRequest) {
        if let AdminRequest::Agreement(call) = call {
            let answer = AdminResponse::Agreement(self.agreement_request(call));
            return self.effects.push(Effect::AnswerAdmin { id, response: answer });
        }
        if let AdminRequest::Configuration(call) = call {
            let answer = AdminResponse::Configuration(Box::new(self.configuration_request(call)));
            return self.effects.push(Effect::AnswerAdmin { id, response: answer });
        }
        let answer = match self.operator_drain.order(self.timestamp.now, &call) {
            Some(done) => {
                if let AdminResponse::DrainState { draining, changed: true } = done {
                    // The control plane and health checks hear of it at once.
                    self.report_change();
                    let text = if draining { "drained at the operators' call" } else { "back to work" };
                    self.log(Level::Info, text.into());
                }
                done
            }
            None if call == AdminRequest::Health => AdminResponse::Health(self.ready()),
            None if call == AdminRequest::Fleet => {
                AdminResponse::Fleet(self.cluster.view(self.timestamp.now))
            }
            None => {
                let open = self.requests.count_owed();
                let fleet = self.cluster.status(self.timestamp.now);
                let configuration = self.configuration.metrics(self.timestamp.now);
                AdminResponse::Stats(Box::new(MetricsSnapshot {
                    fleet,
                    configuration,
                    ..self.metrics.stats(open as u64)
                }))
            }
        };
        self.effects.push(Effect::AnswerAdmin { id, response: answer });
    }

    /// Whether this process is ready to serve, and if not, why.
    pub(super) fn ready(&self) -> Result<(), NotReadyReason> {
        let well = self.healthy && !self.registration.is_out();
        self.operator_drain.ready(ReadinessInputs {
            processor: self.controller.is_some(),
            well,
            leaving: self.drain.is_draining(),
        })
    }
}
