use super::*;

fn message(len: usize) -> Vec<u8> {
    (0..len).map(|n| n as u8).collect()
}

/// Guards messages against fragments that come in any order, twice, or of two messages at a time.
#[test]
fn words_are_whole_in_whatever_order_their_pieces_come() {
    let mut fragments = Reassembly::default();
    for len in [0, 1, FRAGMENT_BYTES, FRAGMENT_BYTES + 1, 7 * FRAGMENT_BYTES + 3] {
        let (mut a, b) = (split(1, &message(len)), split(2, &message(len + 1)));
        a.reverse();
        let mut whole = Vec::new();
        for fragment in a.iter().chain(&a).take(if a.len() == 1 { 1 } else { a.len() }).zip(b.iter().cycle())
        {
            for fragment in [fragment.0, fragment.1] {
                whole.extend(fragments.take(Time(0), "n1", Incarnation(1), fragment).unwrap());
            }
        }
        assert!(whole.contains(&message(len)), "{len}");
    }
    assert!(split(1, &message(MAX_MESSAGE_BYTES + 1)).is_empty());
}

/// Guards memory against messages that never become whole, and against fragments that are none.
#[test]
fn what_is_half_here_is_bounded() {
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

/// Guards memory against fragments that say little of messages that have many: what is kept goes by what came, and not by how many
/// fragments a message is said to have.
#[test]
fn a_message_of_which_little_came_takes_little() {
    let mut fragments = Reassembly::default();
    // As many as are taken in the time after which what is incomplete is forgotten.
    let most = 12_000;
    for n in 0..most {
        let fragment = [0, 0, 0, 1, 7, 255, 9];
        assert_eq!(
            fragments.take(Time(n), "n1", Incarnation(n), &fragment[..6 + (n % 2) as usize]),
            Ok(None)
        );
    }
    let slots: usize = fragments.partial.values().flatten().map(|partial| partial.parts.len()).sum();
    assert!(slots <= most as usize, "{slots} places for {most} fragments");
    let messages: usize = fragments.partial.values().map(Vec::len).sum();
    assert!(messages == fragments.messages && messages <= MAX_PARTIAL_MESSAGES, "{messages} messages");
    // What is over makes room again.
    let whole = message(3 * FRAGMENT_BYTES);
    let later = Time(most + REASSEMBLY_TIMEOUT.0);
    let split = split(2, &whole);
    let taken: Vec<_> =
        split.iter().map(|fragment| fragments.take(later, "n2", Incarnation(1), fragment)).collect();
    assert_eq!(taken, [Ok(None), Ok(None), Ok(Some(whole))]);
    assert_eq!((fragments.messages, fragments.bytes), (0, 0));
}
