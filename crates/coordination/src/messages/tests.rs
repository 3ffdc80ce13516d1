//! Encoded bytes of messages between servers, which servers of different program versions exchange.

use super::*;
use serde::Serialize;
use std::sync::Arc;

fn hex(message: &impl Serialize) -> String {
    let bytes = postcard::to_stdvec(message).expect("messages can be encoded");
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

#[test]
fn encodes_permit_messages_as_expected_bytes() {
    let request = |action| PermitRequest { number: 300, action };
    assert_eq!(hex(&request(PermitAction::Reserve)), "ac0200");
    assert_eq!(hex(&request(PermitAction::Begin { epoch: 7 })), "ac020107");
    assert_eq!(hex(&request(PermitAction::Cancel { epoch: 7 })), "ac020207");
    assert_eq!(hex(&PermitReply::Redirect { leader: Some(Arc::from("n1")) }), "0001026e31");
    assert_eq!(hex(&PermitReply::Wait(DenialReason::Stale(7)))[..2], *"01");
    assert_eq!(hex(&PermitReply::Reserved { epoch: 7 }), "0207");
    assert_eq!(hex(&PermitReply::Begin { epoch: 7 }), "0307");
    assert_eq!(hex(&PermitReply::Ended), "04");
}

#[test]
fn encodes_a_report_as_expected_bytes() {
    let report = ServerReport {
        zone: "z".into(),
        ready: true,
        program: "v1".into(),
        settings: "s".into(),
        staged: vec!["t".into()],
        voter: Some(300),
        founded: true,
        failed: Some(FailedStep { rollout: 5, reason: "no".into() }),
        totals: vec![(1, ServiceTotal { received: 2, served: 1 })],
    };
    assert_eq!(hex(&report), "017a01027631017301017401ac02010105026e6f01010201");
}

#[test]
fn encodes_operator_commands_and_step_assignments_as_expected_bytes() {
    let operator_name: Name = Arc::from("k");
    let target = Target::Zone(Arc::from("z"));
    assert_eq!(
        hex(&OperatorCommand::GrantPermit { target: target.clone(), operator: operator_name.clone() }),
        "0001017a016b"
    );
    assert_eq!(hex(&OperatorCommand::EndPermit { target, operator: operator_name.clone() }), "0101017a016b");
    assert_eq!(
        hex(&OperatorCommand::ReleasePermit {
            epoch: 7,
            operator: operator_name.clone(),
            reason: "x".into()
        }),
        "0207016b0178"
    );
    assert_eq!(
        hex(&OperatorCommand::RemoveServer {
            name: Arc::from("n1"),
            operator: operator_name.clone(),
            reason: "x".into()
        }),
        "03026e31016b0178"
    );
    assert_eq!(
        hex(&OperatorCommand::ChangeVoter {
            name: Arc::from("n1"),
            add: true,
            operator: operator_name.clone()
        }),
        "04026e3101016b"
    );
    let halt = RolloutCommand::Halt { name: "r".into(), operator: operator_name, reason: "x".into() };
    assert_eq!(hex(&OperatorCommand::Rollout(halt)), "06010172016b0178");
    assert_eq!(hex(&OperatorCommandReply::Redirect(None)), "0000");
    assert_eq!(hex(&OperatorCommandReply::Done(Ok("done".into()))), "010004646f6e65");
    assert_eq!(hex(&OperatorCommandReply::Done(Err(CommandFailure("no".into())))), "0101026e6f");
    let assignment =
        StepAssignment { rollout: 20, epoch: 21, kind: ReleaseKind::Settings, version: "v2".into() };
    assert_eq!(hex(&assignment), "141501027632");
}
