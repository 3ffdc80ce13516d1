//! The bytes of posts between servers, as files of an earlier version have them.

use super::*;
use crate::golden::{assert_golden_values, golden_file, values};

#[test]
fn encodes_every_message_as_golden_bytes() {
    let voters = [(7, Arc::from("n1")), (1 << 40, Arc::from("n2"))].into();
    let messages = [
        ("voter", Message::Voter { from: 7, to: 1 << 40, bytes: vec![1, 2, 3] }),
        ("report", Message::Report(Box::new(values::report()))),
        ("request", Message::Request(values::permit_request())),
        ("reply", Message::Reply(300, values::permit_reply())),
        ("turn", Message::Turn(values::turn())),
        ("order", Message::Order(300, values::orders().remove(0).1)),
        ("order reply", Message::OrderReply(300, values::order_reply())),
        ("halt", Message::Halt("r-1".into())),
        ("found", Message::Found(voters)),
        ("look", Message::Look),
        ("record", Message::Record(Box::new(values::record()))),
        ("configuration request", Message::ConfigurationRequest(300, Box::new(values::request()))),
        ("configuration reply", Message::ConfigurationReply(300, values::voter_answers().remove(0).1)),
    ];
    assert_golden_values(golden_file!("messages.txt"), &messages);
}
