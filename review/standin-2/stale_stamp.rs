//! One request of another client with an old stamp, and client proxies that write slowly.

use crate::platform::*;
use crate::site::Site;

/// How late a final answer may be: the slack of the rule, and 50 ms on sockets.
const SLACK_MS: u64 = 100 + 50;
/// The rule is broken from this share of requests on.
const BROKEN_SHARE: f64 = 0.003;

pub fn play(record: &Record, trouble: bool) -> Vec<String> {
    let site = Site::new(record, 50);
    let _server = site.start("config");
    wait_until_good(site.config.listen);
    if trouble {
        let mut other = site.client(record);
        let mut call = Call::new("sheet-view", "x", 1);
        call.t0 = unix_ms() - 1_300;
        let sequence = other.send_unknown(&call);
        other.answer(sequence, unix_ms() + 3_000);
    }
    let (mut requests, mut late) = (0, Vec::new());
    let mut client = site.client(record);
    for _ in 0..40 {
        let mut call = Call::new("sheet-view", "sheet", 2_500);
        let (_, at) = client.call(&mut call);
        requests += 1;
        late.extend((at > call.t0 + call.budget_ms + SLACK_MS).then(|| call.rid.clone()));
    }
    // Runs that hang: the server has to answer by the due time all the same.
    site.processor.set_run_ms(20_000);
    let proxies: Vec<_> = (0..4)
        .map(|n| {
            let mut client = site.client(record);
            std::thread::spawn(move || {
                let mut call = Call::new("sheet-view", &format!("sheet {n}"), 2_500);
                let sequence = client.send_slowly(&mut call, 1_300);
                let due = call.t0 + call.budget_ms;
                let (answer, at) = client.answer(sequence, due + 5_000);
                (call.rid, answer, at, due)
            })
        })
        .collect();
    for proxy in proxies {
        let (rid, answer, at, due) = proxy.join().unwrap_or_else(|_| cannot_run("a client failed"));
        requests += 1;
        record.note(format!("{rid}: {} {} ms after its due time", answer.text(), at as i64 - due as i64));
        late.extend((at > due + SLACK_MS).then_some(rid));
    }
    let text = format!(
        "{} of {requests} requests had no final answer {SLACK_MS} ms after their due time",
        late.len()
    );
    record.note(&text);
    println!("{text}");
    if late.len() as f64 > BROKEN_SHARE * f64::from(requests) {
        vec![format!("{text}: {}", late.join(" "))]
    } else {
        Vec::new()
    }
}
