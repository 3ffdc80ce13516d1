//! An upgrade of a tile server that takes SCGI requests beside Thrift ones.

use crate::platform::*;
use crate::site::Site;

pub fn play(record: &Record, trouble: bool) -> Vec<String> {
    let mut site = Site::with_upgrade(record, 100);
    let scgi = free_address();
    let text = format!(
        "scgi {{\n    listen \"{scgi}\"\n    route \"/labels/{{id}}\" method=\"PUT\" class=\"label-save\"\n}}\n"
    );
    site.settings = Some(site.folder.file("scgi.kdl", &text));
    let mut old = site.start("old");
    wait_until_good(site.config.listen);
    let mut violations = Vec::new();
    let (mut client, mut calls, mut new) = (site.client(record), 0, None);
    let started = unix_ms();
    if trouble {
        let processor = Processor::start(&site.machine, record, 100);
        new = Some(site.start_new(record, processor));
    }
    // The platform sends SIGTERM to the old process once the new one says yes.
    let (mut said_yes, mut stop_at) = (!trouble, u64::MAX);
    while unix_ms() < started + 15_000 {
        if client.is_draining() {
            client = site.client(record);
        }
        let (answer, _) = client.call(&mut Call::new("sheet-view", "sheet", 1_000));
        calls += usize::from(matches!(answer, Answer::Served(_)));
        if !said_yes && admin(site.door(), "GET", "/healthcheck") == 200 {
            record.note("upgrade: the new process says yes; SIGTERM to the old one");
            signal(old.pid, "TERM");
            (said_yes, stop_at) = (true, unix_ms() + 3_700);
        }
        if unix_ms() > stop_at {
            old.end();
        }
        if let Some(status) = new.as_mut().and_then(Server::ended) {
            let ms = unix_ms() - started;
            violations
                .push(format!("the new process of the upgrade ended by itself after {ms} ms: {status}"));
            break;
        }
        sleep_ms(50);
    }
    let log = std::fs::read_to_string(site.folder.0.join("new.log")).unwrap_or_default();
    record.note(format!("{calls} requests served; the new process's log:\n{log}"));
    violations
}
