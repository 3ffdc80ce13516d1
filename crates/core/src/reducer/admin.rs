//! Operators' requests at the admin endpoint. Each is answered in the step in which it arrives.
//!
//! [`crate::admin`] owns readiness and the operators' drain, [`crate::request_metrics`] the metrics. Requests about
//! agreements and the committed configuration are passed to [`super::agreements`] and [`super::configuration_admin`].

use super::Reducer;
use crate::admin::{AdminRequest, AdminRequestId, AdminResponse, NotReadyReason, ReadinessInputs};
use crate::messages::Effect;
use crate::request_metrics::MetricsSnapshot;
use slog::Level;

impl Reducer {
    pub(super) fn admin_request(&mut self, id: AdminRequestId, request: AdminRequest) {
        let response = match request {
            AdminRequest::Agreement(request) => AdminResponse::Agreement(self.agreement_request(request)),
            AdminRequest::Configuration(request) => {
                AdminResponse::Configuration(Box::new(self.configuration_request(request)))
            }
            AdminRequest::Health => AdminResponse::Health(self.readiness()),
            AdminRequest::Stats => AdminResponse::Stats(Box::new(self.metrics_snapshot())),
            AdminRequest::Fleet => AdminResponse::Fleet(self.cluster.view(self.timestamp.now)),
            AdminRequest::StartDrain => self.set_operator_drain(true),
            AdminRequest::EndDrain => self.set_operator_drain(false),
        };
        self.effects.push(Effect::AnswerAdmin { id, response });
    }

    fn set_operator_drain(&mut self, draining: bool) -> AdminResponse {
        let response = self.operator_drain.set(self.timestamp.now, draining);
        if let AdminResponse::DrainState { changed: true, .. } = response {
            // The control plane and health checks must see the change at once.
            self.report_change();
            let text = if draining { "drained at the operators' call" } else { "back to work" };
            self.log(Level::Info, text.into());
        }
        response
    }

    fn metrics_snapshot(&self) -> MetricsSnapshot {
        let now = self.timestamp.now;
        let mut snapshot = self.metrics.snapshot(self.requests.count_owed() as u64);
        snapshot.lifecycle.violations = self.guard.violations();
        MetricsSnapshot {
            fleet: self.cluster.status(now),
            configuration: self.configuration.metrics(now),
            ..snapshot
        }
    }

    /// Returns whether this process is ready to serve, and if not, the reason.
    pub(super) fn readiness(&self) -> Result<(), NotReadyReason> {
        self.operator_drain.readiness(ReadinessInputs {
            processor: self.controller.is_some(),
            healthy: self.healthy && !self.registration.is_out_of_service(),
            shutting_down: self.drain.is_draining(),
        })
    }
}
