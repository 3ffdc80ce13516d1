//! Operator commands: those submitted at this server, which are retried until they have a result, and those that servers send
//! to this voter.

use super::messages::AgentMessage;
use super::{NANOS_PER_MS, ServerAgent};
use crate::ids::{Name, Ticket};
use crate::messages::{CommandFailure, CommandResult, OperatorCommand, OperatorCommandReply};
use crate::rollout::RolloutCommand;
use gradepin_admission::{Span, Time, span_seconds, time_after};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Time to wait for a reply before the command is sent to the next voter.
const REPLY_TIMEOUT: Span = Span(700 * NANOS_PER_MS);
/// Maximum time until a command has a result; after it the command is reported as failed.
const COMMAND_TIMEOUT: Span = Span(8_000 * NANOS_PER_MS);
/// Delay before a command is sent to the leader that another voter named.
const REDIRECT_DELAY: Span = Span(20 * NANOS_PER_MS);
/// Maximum commands in flight, maximum results retained, and maximum commands of servers awaiting a reply.
const MAX_COMMANDS: usize = 64;

/// The status of an operator's command.
#[derive(Debug, Clone, PartialEq)]
pub enum CommandStatus {
    /// The command is in flight.
    Pending,
    /// The command has this result.
    Finished(CommandResult),
    /// No command with this ticket is known here.
    Unknown,
}

/// Reason for not accepting a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum SubmitError {
    /// Too many commands are in flight here.
    #[error("too many commands are in flight")]
    TooManyCommands,
}

/// A command in flight.
#[derive(Debug)]
struct PendingCommand {
    command: OperatorCommand,
    submitted_at: Time,
    next_send: Time,
    /// Index of the voter to send the command to next, modulo the number of voters.
    target: usize,
    /// Why the command has no result yet, for the text of its failure.
    waits_for: &'static str,
}

#[derive(Debug)]
struct FinishedCommand {
    ticket: Ticket,
    result: CommandResult,
}

/// A command that a server sent to this voter.
#[derive(Debug)]
struct ReceivedCommand {
    /// Ticket under which this voter's controller executes the command.
    number: Ticket,
    from: Name,
    /// Ticket at the server that sent the command.
    ticket: Ticket,
}

/// The commands of one server, each list at most [`MAX_COMMANDS`].
#[derive(Debug, Default)]
pub(super) struct OperatorCommands {
    pending: BTreeMap<Ticket, PendingCommand>,
    finished: VecDeque<FinishedCommand>,
    received: VecDeque<ReceivedCommand>,
    last_received: Ticket,
}

/// A command that is due to be sent.
struct OutgoingCommand {
    to: Name,
    ticket: Ticket,
    command: OperatorCommand,
}

impl OperatorCommands {
    /// Time at which the next command is due to be sent.
    pub(super) fn wake_at(&self) -> Option<Time> {
        self.pending.values().map(|pending| pending.next_send).min()
    }

    /// Number of commands received from servers so far.
    pub(super) fn received_count(&self) -> u64 {
        self.last_received
    }

    fn finish(&mut self, ticket: Ticket, result: CommandResult) {
        if self.pending.remove(&ticket).is_none() {
            return;
        }
        self.finished.push_back(FinishedCommand { ticket, result });
        while self.finished.len() > MAX_COMMANDS {
            self.finished.pop_front();
        }
    }

    fn expire(&mut self, now: Time) {
        let is_late = |pending: &PendingCommand| now >= time_after(pending.submitted_at, COMMAND_TIMEOUT);
        let late = self.pending.iter().filter(|(_, pending)| is_late(pending));
        let late: Vec<(Ticket, &str)> = late.map(|(ticket, pending)| (*ticket, pending.waits_for)).collect();
        for (ticket, waits_for) in late {
            // The command may still be committed; the status shows whether it is.
            let timeout_s = span_seconds(COMMAND_TIMEOUT);
            let text = format!("{waits_for} within {timeout_s:.0} s; the command may still take effect");
            self.finish(ticket, Err(CommandFailure(text)));
        }
    }

    fn due(&mut self, now: Time, voters: &[Name]) -> Vec<OutgoingCommand> {
        if voters.is_empty() {
            return Vec::new();
        }
        let mut due = Vec::new();
        for (ticket, pending) in self.pending.iter_mut().filter(|(_, pending)| now >= pending.next_send) {
            let to = Arc::clone(&voters[pending.target % voters.len()]);
            pending.next_send = time_after(now, REPLY_TIMEOUT);
            pending.target += 1;
            due.push(OutgoingCommand { to, ticket: *ticket, command: pending.command.clone() });
        }
        due
    }

    /// Records a server's command and returns the ticket for this voter's controller.
    fn record_received(&mut self, from: &Name, ticket: Ticket) -> Ticket {
        self.last_received += 1;
        let number = self.last_received;
        self.received.push_back(ReceivedCommand { number, from: Arc::clone(from), ticket });
        while self.received.len() > MAX_COMMANDS {
            self.received.pop_front();
        }
        number
    }
}

impl ServerAgent {
    /// Submits an operator's command. [`ServerAgent::command_status`] returns its result once there is one.
    pub fn submit(&mut self, now: Time, ticket: Ticket, command: OperatorCommand) -> Result<(), SubmitError> {
        if self.commands.pending.len() >= MAX_COMMANDS {
            return Err(SubmitError::TooManyCommands);
        }
        if let OperatorCommand::Rollout(RolloutCommand::Halt { name, .. }) = &command {
            self.halt_everywhere(name);
        }
        let pending = PendingCommand {
            command,
            submitted_at: now,
            next_send: now,
            target: 0,
            waits_for: "no voter replied",
        };
        self.commands.pending.insert(ticket, pending);
        Ok(())
    }

    /// Halts a rollout on this server and on all reachable voters, before the halt is committed.
    fn halt_everywhere(&mut self, name: &str) {
        self.halt(name);
        for voter in self.settings.voters.clone() {
            self.send(&voter, &AgentMessage::Halt(name.to_string()));
        }
    }

    /// Returns the status of a command that was submitted here.
    pub fn command_status(&self, ticket: Ticket) -> CommandStatus {
        if self.commands.pending.contains_key(&ticket) {
            return CommandStatus::Pending;
        }
        let finished = self.commands.finished.iter().rev().find(|finished| finished.ticket == ticket);
        match finished {
            Some(finished) => CommandStatus::Finished(finished.result.clone()),
            None => CommandStatus::Unknown,
        }
    }

    /// Sends commands that are due, and fails those that timed out.
    pub(super) fn step_commands(&mut self, now: Time) {
        self.commands.expire(now);
        for OutgoingCommand { to, ticket, command } in self.commands.due(now, &self.settings.voters) {
            if self.is_own_name(&to) {
                self.receive_command(now, &to, ticket, command);
            } else {
                self.send(&to, &AgentMessage::Command { ticket, command });
            }
        }
    }

    /// Handles a command for this voter's controller, from this server or another.
    pub(super) fn receive_command(
        &mut self,
        now: Time,
        from: &Name,
        ticket: Ticket,
        command: OperatorCommand,
    ) {
        let Some(voter) = &mut self.voter else {
            let reply = OperatorCommandReply::Redirect(None);
            return self.send(from, &AgentMessage::CommandReply { ticket, reply });
        };
        let number = self.commands.record_received(from, ticket);
        self.controller.execute(now, voter, number, command);
        self.apply_controller_effects(now);
    }

    /// Passes the controller's reply to the server that sent the command; `number` is the controller's ticket.
    pub(super) fn reply_to_command(&mut self, now: Time, number: Ticket, reply: OperatorCommandReply) {
        let received = self.commands.received.iter().find(|received| received.number == number);
        let Some(ReceivedCommand { from, ticket, .. }) = received else { return };
        let (from, ticket) = (Arc::clone(from), *ticket);
        if self.is_own_name(&from) {
            self.receive_command_reply(now, ticket, reply);
        } else {
            self.send(&from, &AgentMessage::CommandReply { ticket, reply });
        }
    }

    /// Handles a voter's reply to a command of this server.
    pub(super) fn receive_command_reply(&mut self, now: Time, ticket: Ticket, reply: OperatorCommandReply) {
        match reply {
            OperatorCommandReply::Done(result) => self.commands.finish(ticket, result),
            OperatorCommandReply::Redirect(leader) => {
                let Some(pending) = self.commands.pending.get_mut(&ticket) else { return };
                let voters = &self.settings.voters;
                let position = leader.and_then(|leader| voters.iter().position(|voter| *voter == leader));
                let delay = if position.is_some() { REDIRECT_DELAY } else { REPLY_TIMEOUT };
                pending.target = position.unwrap_or(pending.target + 1);
                pending.next_send = time_after(now, delay);
                pending.waits_for = "no voter knew a leader of the council";
            }
        }
    }
}
