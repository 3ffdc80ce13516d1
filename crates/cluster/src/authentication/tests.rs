//! What the tag covers, and keys that are replaced.

use super::*;

fn header(name: &str) -> Header<'_> {
    Header { name, incarnation: Incarnation(7), to: Incarnation(9), number: 3, sent_us: 44 }
}

#[test]
fn what_is_tagged_is_taken_and_any_other_byte_is_not() {
    let keys = AuthenticationKeys::of([5; 32]);
    let datagram = keys.authenticate(&header("n1"), b"rows");
    assert_eq!(keys.verify(&datagram), Ok((header("n1"), &b"rows"[..])));
    for place in 0..datagram.len() {
        let mut changed = datagram.clone();
        changed[place] ^= 1;
        let dropped = keys.verify(&changed).unwrap_err();
        assert!(matches!(dropped, DropReason::WrongTag | DropReason::MalformedEnvelope), "{place}");
    }
    for length in 0..datagram.len() {
        assert!(keys.verify(&datagram[..length]).is_err());
    }
    assert_eq!(AuthenticationKeys::of([6; 32]).verify(&datagram), Err(DropReason::WrongTag));
}

/// Guards the change of a key under load: both are taken while the file has both, and one alone after that.
#[test]
fn two_keys_are_accepted_while_one_is_replaced() {
    let (old, new) = ("0a".repeat(32), "0b".repeat(32));
    let before = AuthenticationKeys::parse(&old).unwrap();
    let during = AuthenticationKeys::parse(&format!("# new first\n{new}\n{old}\n")).unwrap();
    let after = AuthenticationKeys::parse(&new).unwrap();
    assert!(during.verify(&before.authenticate(&header("a"), b"")).is_ok());
    assert!(after.verify(&during.authenticate(&header("a"), b"")).is_ok(), "the first one tags");
    assert_eq!(after.verify(&before.authenticate(&header("a"), b"")), Err(DropReason::WrongTag));
    assert_eq!(AuthenticationKeys::parse(""), Err(InvalidKeys::Number(0)));
    assert_eq!(AuthenticationKeys::parse(&format!("{old}\nno key")), Err(InvalidKeys::Line(2)));
    assert_eq!(AuthenticationKeys::parse(&format!("{old}\n{old}\n{new}")), Err(InvalidKeys::Number(3)));
    assert_eq!(format!("{during:?}"), "2 keys");
}
