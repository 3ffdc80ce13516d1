//! The right to begin, and which voter gets the request.

use super::*;

fn ms(ms: u64) -> Time {
    Time(ms * NANOS_PER_MS)
}

fn client() -> PermitClient {
    PermitClient::new(["n0", "n1", "n2"].map(Arc::from).into(), 0)
}

fn next(client: &mut PermitClient) -> (Time, Name, PermitRequest) {
    let at = client.wake_at().expect("it asks");
    let OutgoingRequest { to, request } = client.step(at).expect("a request");
    (at, to, request)
}

/// The right to begin counts from the request that was answered, not from the reply, and a reply to an older request gives no
/// more time than that one had.
#[test]
fn right_to_begin_counts_from_the_answered_request() {
    let mut client = client();
    client.request(ms(1_000), PermitAction::Begin { epoch: 7 });
    let (first_at, _, first) = next(&mut client);
    let (_, _, _) = next(&mut client);
    assert_eq!(
        client.receive(ms(3_000), first.number + 9, PermitReply::Begin { epoch: 7 }),
        ClientEvent::Nothing,
        "to no request"
    );
    let expires_at = time_after(first_at, BEGIN_TIMEOUT);
    assert_eq!(
        client.receive(ms(9_000), first.number, PermitReply::Begin { epoch: 7 }),
        ClientEvent::MayBegin { epoch: 7, expires_at }
    );
    assert!(expires_at < ms(9_000), "it was stopped meanwhile, and may not");
}

/// Guards against requests to one dead voter for ever, and against requests without a pause.
#[test]
fn asks_voters_by_turns_and_the_leader_once_it_is_known() {
    let mut client = client();
    client.request(ms(0), PermitAction::Reserve);
    let names: Vec<Name> = (0..4).map(|_| next(&mut client).1).collect();
    assert_eq!(names, ["n0", "n1", "n2", "n0"].map(Name::from));
    let (at, _, request) = next(&mut client);
    client.receive(at, request.number, PermitReply::Redirect { leader: Some(Arc::from("n2")) });
    let (then, to, request) = next(&mut client);
    assert!(&*to == "n2" && then >= time_after(at, REDIRECT_DELAY));
    let reason = DenialReason::Zones { out: 2, max: 1 };
    client.receive(then, request.number, PermitReply::Wait(reason.clone()));
    let waiting = client.waiting_request(time_after(then, Span(2_000 * NANOS_PER_MS))).unwrap();
    assert!(waiting.reason == reason.to_string() && waiting.waiting_s > 3.0);
    let (_, to, request) = next(&mut client);
    assert_eq!(&*to, "n2", "the leader again");
    client.receive(then, request.number, PermitReply::Reserved { epoch: 12 });
    assert_eq!(client.action(), Some(&PermitAction::Begin { epoch: 12 }));
    let (at, to, request) = next(&mut client);
    assert!(at <= time_after(then, RETRY_AFTER) && &*to == "n2");
    assert_eq!(
        client.receive(at, request.number, PermitReply::Wait(DenialReason::Stale(12))),
        ClientEvent::Stale { epoch: 12 }
    );
    assert_eq!(client.wake_at(), None);
}
