//! An upgrade of a tile server that makes as many calls to the ledger as its share allows.

use crate::platform::*;
use crate::site::Site;

/// Load of a client proxy: a request every `every_ms` on a connection that it renews when it is asked to drain.
struct Proxy {
    clients: Vec<Client>,
    next_at: u64,
    served: usize,
    other: usize,
}

impl Proxy {
    fn step(&mut self, site: &Site, record: &Record, class: &str, budget_ms: u64, every_ms: u64) {
        for client in &mut self.clients {
            for (rid, answer) in client.take_answers() {
                record.note(format!("client: answer to {rid}: {}", answer.text()));
                if matches!(answer, Answer::Served(_)) { self.served += 1 } else { self.other += 1 }
            }
        }
        self.clients.retain(|client| !(client.is_draining() && client.is_answered()));
        if unix_ms() < self.next_at {
            return;
        }
        self.next_at = unix_ms() + every_ms;
        if self.clients.last().is_none_or(Client::is_draining) {
            self.clients.extend(Client::connect(site.config.listen, &site.machine, record));
        }
        if let Some(client) = self.clients.last_mut() {
            client.send(&mut Call::new(class, "lease of a flat", budget_ms));
        }
    }
}

pub fn play(record: &Record, trouble: bool) -> Vec<String> {
    const SHARE: f64 = 4.0;
    const SPAN_MS: u64 = 5_000;
    let mut site = Site::with_upgrade(record, 100);
    site.processor.make_calls();
    let ledger = Ledger::start(500);
    site.config.ledger = Some((ledger.address, SHARE));
    site.config.stop_ms = 3_700;
    site.config.classes = vec![Class {
        name: "draft-preview",
        effect: "repeatable",
        deadline_ms: 6_200,
        window_ms: Some(5_000),
    }];
    let mut old = site.start("old");
    wait_until_good(site.config.listen);
    let mut proxies: Vec<Proxy> = (0..3)
        .map(|n| Proxy { clients: Vec::new(), next_at: unix_ms() + n * 70, served: 0, other: 0 })
        .collect();
    let mut play = |site: &Site, until: u64| {
        while unix_ms() < until {
            for proxy in &mut proxies {
                proxy.step(site, record, "draft-preview", 6_200, 340);
            }
            sleep_ms(2);
        }
        (proxies.iter().map(|p| p.served).sum::<usize>(), proxies.iter().map(|p| p.other).sum::<usize>())
    };
    play(&site, unix_ms() + 12_000);
    let mut new = None;
    if trouble {
        let processor = Processor::start(&site.machine, record, 100);
        processor.make_calls();
        new = Some(site.start_new(record, processor));
        site.hand_over(record, &old, || {
            play(&site, unix_ms() + 20);
        });
        play(&site, unix_ms() + 3_700);
        if old.ended().is_none() {
            record.note("SIGKILL to the old process");
            old.end();
        }
    }
    let (served, other) = play(&site, unix_ms() + 6_000);
    let (mean, from) = ledger.greatest_mean(SPAN_MS);
    let text = format!(
        "{mean:.2} calls in the ledger's hands in the mean of {SPAN_MS} ms from {from} ms on; the share is {SHARE}"
    );
    record.note(format!("{text}; {} calls, {served} requests served, {other} not", ledger.count()));
    println!("{text}; {} calls, {served} served, {other} not", ledger.count());
    record.note(format!("the new process ended: {:?}", new.as_mut().map(Server::ended)));
    if mean > SHARE { vec![text] } else { Vec::new() }
}
