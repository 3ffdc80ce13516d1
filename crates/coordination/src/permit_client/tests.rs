//! The expiry of the right to begin, and the choice of the voter to ask.

use super::*;

fn ms(ms: u64) -> Time {
    Time(ms * NANOS_PER_MS)
}

fn client() -> PermitClient {
    PermitClient::new(["n0", "n1", "n2"].map(Arc::from).into(), 0)
}

fn next_request(client: &mut PermitClient) -> (Time, Name, PermitRequest) {
    let at = client.wake_at().expect("a request is pending");
    let OutgoingRequest { to, request } = client.step(at).expect("a request");
    (at, to, request)
}

/// The right to begin counts from the time of the granted request, not of the reply: a late reply to an older request leaves a
/// suspended server no time to begin.
#[test]
fn right_to_begin_counts_from_the_answered_request() {
    let mut client = client();
    client.request(ms(1_000), PermitAction::Begin { epoch: 7 });
    let (first_at, _, first) = next_request(&mut client);
    let (_, _, _) = next_request(&mut client);
    assert_eq!(
        client.receive(ms(3_000), first.number + 9, PermitReply::Begin { epoch: 7 }),
        ClientEvent::Nothing,
        "no request has this number"
    );
    let expires_at = time_after(first_at, BEGIN_TIMEOUT);
    assert_eq!(
        client.receive(ms(9_000), first.number, PermitReply::Begin { epoch: 7 }),
        ClientEvent::MayBegin { epoch: 7, expires_at }
    );
    assert!(expires_at < ms(9_000), "the right expired while the server was suspended");
}

/// Guards against asking one dead voter for ever, and against requests without a delay.
#[test]
fn asks_voters_in_turn_and_the_leader_once_it_is_known() {
    let mut client = client();
    client.request(ms(0), PermitAction::Reserve);
    let names: Vec<Name> = (0..4).map(|_| next_request(&mut client).1).collect();
    assert_eq!(names, ["n0", "n1", "n2", "n0"].map(Name::from));
    let (at, _, request) = next_request(&mut client);
    client.receive(at, request.number, PermitReply::Redirect { leader: Some(Arc::from("n2")) });
    let (then, to, request) = next_request(&mut client);
    assert!(&*to == "n2" && then >= time_after(at, REDIRECT_DELAY));
    let reason = DenialReason::Zones { out: 2, max: 1 };
    client.receive(then, request.number, PermitReply::Wait(reason.clone()));
    let waiting = client.waiting_request(time_after(then, Span(2_000 * NANOS_PER_MS))).unwrap();
    assert!(waiting.reason == reason.to_string() && waiting.waiting_s > 3.0);
    let (_, to, request) = next_request(&mut client);
    assert_eq!(&*to, "n2", "the leader again");
    client.receive(then, request.number, PermitReply::Reserved { epoch: 12 });
    assert_eq!(client.action(), Some(&PermitAction::Begin { epoch: 12 }));
    let (at, to, request) = next_request(&mut client);
    assert!(at <= time_after(then, RETRY_AFTER) && &*to == "n2");
    assert_eq!(
        client.receive(at, request.number, PermitReply::Wait(DenialReason::Stale(12))),
        ClientEvent::Stale { epoch: 12 }
    );
    assert_eq!(client.wake_at(), None);
}
