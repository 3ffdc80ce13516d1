//! A notice to leave that comes before the processor is up.

use crate::platform::*;
use crate::site::Site;

/// `rules.drain_grace` of the settings.
const GRACE_MS: u64 = 1_800;
/// On sockets each time limit is so much longer.
const SOCKET_MS: u64 = 50;

pub fn play(record: &Record, trouble: bool) -> Vec<String> {
    let site = Site::with_late_processor(record, 200);
    let mut server = site.start("config");
    if !trouble {
        site.processor.come_up();
        wait_until_good(site.config.listen);
    }
    let started = unix_ms();
    while !matches!(health(site.config.listen), Answer::Health(_)) {
        if unix_ms() > started + 10_000 {
            cannot_run("the tile server doesn't answer health checks");
        }
        sleep_ms(20);
    }
    sleep_ms(1_000);
    let notice = unix_ms();
    record.note("SIGTERM");
    signal(server.pid, "TERM");
    if trouble {
        sleep_ms(800);
        record.note("the processor comes up");
        site.processor.come_up();
    }
    let (mut violations, mut runs) = (Vec::new(), 0);
    // Client proxies that hear of the drain late; SIGKILL would come at 3.2 s.
    while unix_ms() < notice + 2_700 {
        sleep_ms(100);
        // A new connection for each: on the old ones the server asks for no more.
        let Some(mut client) = Client::connect(site.config.listen, &site.machine, record) else { continue };
        let mut call = Call::new("sheet-view", "sheet", 1_000);
        let (answer, _) = client.call(&mut call);
        let (arrived, ran) = (call.t0.saturating_sub(notice), site.machine.has_run(&call.rid));
        record.note(format!("came {arrived} ms after the notice: run {ran}, {}", answer.text()));
        runs += usize::from(ran);
        if ran && arrived > GRACE_MS + SOCKET_MS {
            violations.push(format!("a request that came {arrived} ms after the notice to leave was run"));
        }
    }
    if runs == 0 {
        cannot_run("no request was run during the drain");
    }
    record.note(format!("ended: {:?}", server.ended()));
    violations
}
