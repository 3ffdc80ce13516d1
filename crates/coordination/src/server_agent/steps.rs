//! Permits and rollout steps of this server: its requests to leave or to begin a step, and the handling of replies.

use super::messages::AgentMessage;
use super::{AgentEffect, ServerAgent};
use crate::ids::{Epoch, Incarnation, Name, Ticket};
use crate::messages::{PermitAction, PermitReply, PermitRequest, StepAssignment};
use crate::permit_client::{ClientEvent, OutgoingRequest};
use crate::replicated_state::Target;
use gradepin_admission::Time;
use slog::Level;

impl ServerAgent {
    /// Requests a permit to leave; retried until it is granted or denied.
    pub fn request_permit(&mut self, now: Time) {
        self.permit_client.request(now, PermitAction::Reserve);
    }

    /// Cancels the request to leave, and ends this server's permit if it has one.
    pub fn cancel_permit(&mut self, now: Time) {
        let epoch = match self.permit_client.action() {
            Some(PermitAction::Begin { epoch }) => Some(*epoch),
            _ => self.own_permit(),
        };
        self.requested_step = None;
        match epoch {
            Some(epoch) => self.permit_client.request(now, PermitAction::Cancel { epoch }),
            None => self.permit_client.stop(),
        }
    }

    fn own_permit(&self) -> Option<Epoch> {
        let target = Target::Server(self.own_name());
        self.state()?.permit_of(&target).map(|(epoch, _)| epoch)
    }

    /// Records that the right to begin a step expired before the host began, so that the step may be assigned again.
    pub fn step_expired(&mut self) {
        self.begun_step = None;
    }

    /// Sends permit requests that are due.
    pub(super) fn step_permit_client(&mut self, now: Time) {
        while let Some(OutgoingRequest { to, request }) = self.permit_client.step(now) {
            if !self.is_own_name(&to) {
                self.send(&to, &AgentMessage::PermitRequest(request));
            } else if let Some(voter) = &mut self.voter {
                let incarnation = self.settings.incarnation;
                self.controller.request(now, voter, &to, incarnation, request);
                self.apply_controller_effects(now);
            }
        }
    }

    /// Handles a server's permit request; a server that isn't a voter redirects it.
    pub(super) fn receive_permit_request(
        &mut self,
        now: Time,
        from: &Name,
        incarnation: Incarnation,
        request: PermitRequest,
    ) {
        match &mut self.voter {
            Some(voter) => self.controller.request(now, voter, from, incarnation, request),
            None => {
                let (number, reply) = (request.number, PermitReply::Redirect { leader: None });
                self.send(from, &AgentMessage::PermitReply { number, reply });
            }
        }
    }

    /// Handles a voter's reply to a permit request of this server.
    pub(super) fn receive_permit_reply(&mut self, now: Time, number: Ticket, reply: PermitReply) {
        let is_reservation = self.permit_client.action() == Some(&PermitAction::Reserve);
        let denial = match &reply {
            PermitReply::Wait(reason) if is_reservation && !self.settings.waits_for_permit => {
                Some(reason.to_string())
            }
            _ => None,
        };
        match (self.permit_client.receive(now, number, reply), denial) {
            (ClientEvent::Nothing, Some(reason)) => {
                self.permit_client.stop();
                self.effects.push(AgentEffect::PermitDenied { reason });
            }
            (ClientEvent::Nothing, None) => {}
            (ClientEvent::MayBegin { epoch, expires_at }, _) => self.begin(epoch, expires_at),
            (ClientEvent::Stale { epoch }, _) => self.restart_stale_request(now, epoch),
        }
    }

    fn begin(&mut self, epoch: Epoch, expires_at: Time) {
        let effect = match self.requested_step.take() {
            Some(assignment) if assignment.epoch == epoch => {
                self.begun_step = Some(epoch);
                AgentEffect::StepGranted { assignment, expires_at }
            }
            _ => AgentEffect::PermitGranted { epoch, expires_at },
        };
        self.effects.push(effect);
    }

    /// Handles a permit that ended before it was begun. The leader reserves a permit for a step again; a permit to leave is
    /// requested again here.
    fn restart_stale_request(&mut self, now: Time, epoch: Epoch) {
        if self.requested_step.take().is_some() {
            return;
        }
        self.log(Level::Warning, format!("permit {epoch} ended before it was begun; requesting another one"));
        self.permit_client.request(now, PermitAction::Reserve);
    }

    /// Handles a rollout step that the leader assigned to this server: requests to begin it, unless there is a reason not to.
    pub(super) fn receive_step(&mut self, now: Time, assignment: StepAssignment) {
        let runs_it = *self.report.version(assignment.kind) == assignment.version;
        let failed = self.report.failed.as_ref();
        // The server doesn't retry a failed step, and a drain for an operator has precedence.
        let has_failed = failed.is_some_and(|failed| failed.rollout == assignment.rollout);
        let is_draining = matches!(self.permit_client.action(), Some(PermitAction::Reserve));
        let has_step = self.requested_step.is_some() || self.begun_step == Some(assignment.epoch);
        if runs_it || has_failed || is_draining || has_step {
            return;
        }
        self.permit_client.request(now, PermitAction::Begin { epoch: assignment.epoch });
        self.requested_step = Some(assignment);
    }

    /// Handles an operator's halt of a rollout: drops the requested step, and halts the rollout on this voter's controller.
    pub(super) fn halt(&mut self, name: &str) {
        let is_of_rollout = self.requested_step.as_ref().is_some_and(|assignment| {
            let rollout = self.state().and_then(|state| state.rollout.as_ref());
            rollout.is_none_or(|rollout| rollout.number == assignment.rollout)
        });
        if is_of_rollout {
            self.requested_step = None;
            self.permit_client.stop();
        }
        if let Some(voter) = &self.voter {
            self.controller.halt(voter.state(), name);
        }
    }
}
