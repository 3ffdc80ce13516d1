use super::*;

#[test]
fn hash_code_counts_statuses_in_alphabetical_order() {
    let code = hash_code([
        InstanceStatus::Up,
        InstanceStatus::Down,
        InstanceStatus::Up,
        InstanceStatus::OutOfService,
    ]);
    assert_eq!(code, "DOWN_1_OUT_OF_SERVICE_1_UP_2_");
    assert_eq!(hash_code([]), "");
}

#[test]
fn parses_each_status_from_its_wire_name() {
    for status in [
        InstanceStatus::Up,
        InstanceStatus::Down,
        InstanceStatus::Starting,
        InstanceStatus::OutOfService,
        InstanceStatus::Unknown,
    ] {
        assert_eq!(status.wire_name().parse(), Ok(status));
    }
    assert_eq!("perhaps".parse(), Ok(InstanceStatus::Unknown));
}
