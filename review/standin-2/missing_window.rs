//! A new configuration that lacks the key `window` of a keyed class.

use crate::platform::*;
use crate::site::Site;

/// A keyed request whose caller stops waiting while it runs, and comes again 300 ms later: the runs of its token.
fn hasty_save(client: &mut Client, machine: &Machine) -> (usize, Answer) {
    let mut first = Call::new("label-save", "sheet 17: new label", 4_000);
    let sequence = client.send(&mut first);
    sleep_ms(200);
    client.cancel(sequence);
    sleep_ms(300);
    let mut again = first.retry();
    let (answer, _) = client.call(&mut again);
    (machine.runs_of(&first.token), answer)
}

pub fn play(record: &Record, trouble: bool) -> Vec<String> {
    let mut site = Site::new(record, 600);
    let mut server = site.start("config");
    wait_until_good(site.config.listen);
    let mut client = site.client(record);
    let (runs, _) = hasty_save(&mut client, &site.machine);
    if runs != 1 {
        cannot_run("a save before the reload didn't run once");
    }
    if trouble {
        site.config.classes[1].window_ms = None;
    } else {
        site.config.stop_ms += 100;
    }
    let text = site.config.text();
    site.folder.file("config.json", &text);
    record.note(format!("SIGHUP with this file:\n{text}"));
    signal(server.pid, "HUP");
    sleep_ms(1_500);
    let mut violations = Vec::new();
    for _ in 0..5 {
        let (runs, answer) = hasty_save(&mut client, &site.machine);
        if runs > 1 {
            violations.push(format!(
                "a label-save ran {runs} times within its window; the last answer: {}",
                answer.text()
            ));
        }
    }
    if let Some(status) = server.ended() {
        violations.push(format!("the tile server ended: {status}"));
    }
    violations
}
