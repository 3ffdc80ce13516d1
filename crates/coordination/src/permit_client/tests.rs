//! The right to begin, and which voter is asked.

use super::*;

fn ms(ms: u64) -> Time {
    Time(ms * MS)
}

fn client() -> PermitClient {
    PermitClient::new(["n0", "n1", "n2"].map(Arc::from).into(), 0)
}

fn next(client: &mut PermitClient) -> (Time, Name, PermitRequest) {
    let at = client.wake_at().expect("it asks");
    let OutgoingRequest { to, request } = client.step(at).expect("a request");
    (at, to, request)
}

/// Guards the right to begin: it counts from the question that was answered, not from the answer, and an answer to an older
/// question gives no more time than that one had.
#[test]
fn the_right_to_begin_counts_from_its_question() {
    let mut client = client();
    client.request(ms(1_000), PermitAction::Begin(7));
    let (first_at, _, first) = next(&mut client);
    let (_, _, _) = next(&mut client);
    assert_eq!(
        client.receive(ms(3_000), first.number + 9, PermitReply::Begin(7)),
        ClientEvent::Nothing,
        "to no question"
    );
    let until = time_after(first_at, BEGIN_TIMEOUT);
    assert_eq!(
        client.receive(ms(9_000), first.number, PermitReply::Begin(7)),
        ClientEvent::MayBegin { epoch: 7, until }
    );
    assert!(until < ms(9_000), "it was stopped meanwhile, and may not");
}

/// Guards against a question that is put to a dead voter for ever, and against one that is put without a pause.
#[test]
fn voters_are_asked_in_turn_and_the_leader_once_it_is_named() {
    let mut client = client();
    client.request(ms(0), PermitAction::Reserve);
    let names: Vec<Name> = (0..4).map(|_| next(&mut client).1).collect();
    assert_eq!(names, ["n0", "n1", "n2", "n0"].map(Name::from));
    let (at, _, request) = next(&mut client);
    client.receive(at, request.number, PermitReply::Redirect(Some(Arc::from("n2"))));
    let (then, to, request) = next(&mut client);
    assert!(&*to == "n2" && then >= time_after(at, MIN_INTERVAL));
    let why = DenialReason::Zones { out: 2, most: 1 };
    client.receive(then, request.number, PermitReply::Wait(why.clone()));
    let waits = client.waits(time_after(then, Span(2_000 * MS))).unwrap();
    assert!(waits.why == why.to_string() && waits.for_s > 3.0);
    let (_, to, request) = next(&mut client);
    assert_eq!(&*to, "n2", "the leader again");
    client.receive(then, request.number, PermitReply::Reserved(12));
    assert_eq!(client.wanted(), Some(&PermitAction::Begin(12)));
    let (at, to, request) = next(&mut client);
    assert!(at <= time_after(then, RETRY_AFTER) && &*to == "n2");
    assert_eq!(
        client.receive(at, request.number, PermitReply::Wait(DenialReason::Stale(12))),
        ClientEvent::Stale(12)
    );
    assert_eq!(client.wake_at(), None);
}
