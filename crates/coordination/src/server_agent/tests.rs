//! Encoded bytes of messages between agents, compared with golden files of an earlier version.

use super::messages::AgentMessage;
use super::*;
use crate::golden::{assert_golden_values, golden_file, values};

#[test]
fn encodes_every_message_as_golden_bytes() {
    let (ticket, number) = (300, 300);
    let voters = [(7, Arc::from("n1")), (1 << 40, Arc::from("n2"))].into();
    let (command, reply) = (values::operator_commands().remove(0).1, values::voter_replies().remove(0).1);
    let request = Box::new(values::configuration_request());
    let messages = [
        ("voter", AgentMessage::Voter { from: 7, to: 1 << 40, bytes: vec![1, 2, 3] }),
        ("report", AgentMessage::Report(Box::new(values::report()))),
        ("request", AgentMessage::PermitRequest(values::permit_request())),
        ("reply", AgentMessage::PermitReply { number, reply: values::permit_reply() }),
        ("turn", AgentMessage::StepAssignment(values::step_assignment())),
        ("order", AgentMessage::Command { ticket, command }),
        ("order reply", AgentMessage::CommandReply { ticket, reply: values::operator_command_reply() }),
        ("halt", AgentMessage::Halt("r-1".into())),
        ("found", AgentMessage::Found(voters)),
        ("look", AgentMessage::StateRequest),
        ("record", AgentMessage::State(Box::new(values::replicated_state()))),
        ("configuration request", AgentMessage::ConfigurationRequest { ticket, request }),
        ("configuration reply", AgentMessage::ConfigurationReply { ticket, reply }),
    ];
    assert_golden_values(golden_file!("messages.txt"), &messages);
}
