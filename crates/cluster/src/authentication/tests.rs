//! The bytes that the tag covers, and the replacement of a key.

use super::*;

fn header(name: &str) -> Header<'_> {
    Header { name, incarnation: Incarnation(7), to: Incarnation(9), number: 3, sent_us: 44 }
}

#[test]
fn a_tagged_datagram_is_accepted_and_any_change_of_it_is_rejected() {
    let keys = AuthenticationKeys::of([5; 32]);
    let datagram = keys.authenticate(&header("n1"), b"rows");
    assert_eq!(keys.verify(&datagram), Ok((header("n1"), &b"rows"[..])));
    for index in 0..datagram.len() {
        let mut changed = datagram.clone();
        changed[index] ^= 1;
        let dropped = keys.verify(&changed).unwrap_err();
        assert!(matches!(dropped, DropReason::WrongTag | DropReason::MalformedEnvelope), "{index}");
    }
    for length in 0..datagram.len() {
        assert!(keys.verify(&datagram[..length]).is_err());
    }
    assert_eq!(AuthenticationKeys::of([6; 32]).verify(&datagram), Err(DropReason::WrongTag));
}

/// While the file holds both keys, datagrams by either key are accepted; after that only those by the new
/// key.
#[test]
fn two_keys_are_accepted_while_one_is_replaced() {
    let (old, new) = ("0a".repeat(32), "0b".repeat(32));
    let before = AuthenticationKeys::parse(&old).unwrap();
    let during = AuthenticationKeys::parse(&format!("# new first\n{new}\n{old}\n")).unwrap();
    let after = AuthenticationKeys::parse(&new).unwrap();
    assert!(during.verify(&before.authenticate(&header("a"), b"")).is_ok());
    assert!(
        after.verify(&during.authenticate(&header("a"), b"")).is_ok(),
        "the first key tags sent datagrams"
    );
    assert_eq!(after.verify(&before.authenticate(&header("a"), b"")), Err(DropReason::WrongTag));
    assert_eq!(AuthenticationKeys::parse(""), Err(InvalidKeys::Number(0)));
    assert_eq!(AuthenticationKeys::parse(&format!("{old}\nno key")), Err(InvalidKeys::Line(2)));
    assert_eq!(AuthenticationKeys::parse(&format!("{old}\n{old}\n{new}")), Err(InvalidKeys::Number(3)));
    assert_eq!(format!("{during:?}"), "2 keys");
}
