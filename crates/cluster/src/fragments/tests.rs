//! Reassembly of messages, and the bounds on incomplete ones.

use super::*;

fn message(len: usize) -> Vec<u8> {
    (0..len).map(|n| n as u8).collect()
}

/// Fragments arrive in reverse order, and interleaved with those of another message.
#[test]
fn messages_are_reassembled_from_fragments_in_any_order() {
    let mut fragments = Reassembly::default();
    for len in [0, 1, FRAGMENT_BYTES, FRAGMENT_BYTES + 1, 7 * FRAGMENT_BYTES + 3] {
        let (mut a, b) = (split(1, &message(len)), split(2, &message(len + 1)));
        a.reverse();
        let mut complete = Vec::new();
        for fragment in a.iter().chain(&a).take(if a.len() == 1 { 1 } else { a.len() }).zip(b.iter().cycle())
        {
            for fragment in [fragment.0, fragment.1] {
                complete.extend(fragments.take(Time(0), "n1", Incarnation(1), fragment).unwrap());
            }
        }
        assert!(complete.contains(&message(len)), "{len}");
    }
    assert!(split(1, &message(MAX_MESSAGE_BYTES + 1)).is_empty());
}

/// Messages that are never completed take bounded memory, and malformed fragments are dropped.
#[test]
fn incomplete_messages_are_bounded_and_malformed_fragments_rejected() {
    let mut fragments = Reassembly::default();
    for number in 0..10_000 {
        let from = format!("n{}", number % 50);
        let first = &split(number, &message(20 * FRAGMENT_BYTES))[0];
        assert_eq!(fragments.take(Time(u64::from(number)), &from, Incarnation(1), first), Ok(None));
    }
    assert!(
        fragments.partial.len() == 50
            && fragments.partial.values().all(|partials| partials.len() <= MAX_PARTIAL_PER_SENDER)
    );
    assert_eq!(fragments.bytes, 50 * MAX_PARTIAL_PER_SENDER * FRAGMENT_BYTES);
    assert_eq!(
        fragments.take(Time(9_000 * MS), "x", Incarnation(1), &split(1, &message(2 * FRAGMENT_BYTES))[0]),
        Ok(None)
    );
    assert!(fragments.partial.len() == 1 && fragments.bytes == FRAGMENT_BYTES);
    for bad in [&[][..], &[0, 0, 0, 1, 5, 5, 1], &[0, 0, 0, 1, 0, 0]] {
        assert_eq!(
            fragments.take(Time(9_000 * MS), "x", Incarnation(1), bad),
            Err(DropReason::MalformedContent)
        );
    }
}

/// Short fragments that claim to belong to messages of 255 fragments: memory is used for the fragments
/// received, not for the claimed number.
#[test]
fn an_incomplete_message_uses_memory_only_for_received_fragments() {
    let mut fragments = Reassembly::default();
    // The number of datagrams that the rate limit admits within the reassembly timeout.
    let fragment_count = 12_000;
    for n in 0..fragment_count {
        let fragment = [0, 0, 0, 1, 7, 255, 9];
        assert_eq!(
            fragments.take(Time(n), "n1", Incarnation(n), &fragment[..6 + (n % 2) as usize]),
            Ok(None)
        );
    }
    let stored_fragments: usize =
        fragments.partial.values().flatten().map(|partial| partial.parts.len()).sum();
    assert!(
        stored_fragments <= fragment_count as usize,
        "{stored_fragments} of {fragment_count} fragments are stored"
    );
    let messages: usize = fragments.partial.values().map(Vec::len).sum();
    assert!(messages == fragments.messages && messages <= MAX_PARTIAL_MESSAGES, "{messages} messages");
    // Once the incomplete messages have expired, new ones are accepted.
    let complete = message(3 * FRAGMENT_BYTES);
    let later = Time(fragment_count + REASSEMBLY_TIMEOUT.0);
    let split = split(2, &complete);
    let taken: Vec<_> =
        split.iter().map(|fragment| fragments.take(later, "n2", Incarnation(1), fragment)).collect();
    assert_eq!(taken, [Ok(None), Ok(None), Ok(Some(complete))]);
    assert_eq!((fragments.messages, fragments.bytes), (0, 0));
}
