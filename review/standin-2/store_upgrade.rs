//! An upgrade of a tile server that keeps its keyed runs in a store.

use crate::platform::*;
use crate::site::Site;

pub fn play(record: &Record, trouble: bool) -> Vec<String> {
    let mut site = Site::with_upgrade(record, 600);
    let text = format!("store {{\n    path \"{}\"\n}}\n", site.folder.0.join("store").display());
    site.settings = Some(site.folder.file("store.kdl", &text));
    let mut old = site.start("old");
    wait_until_good(site.config.listen);
    let mut client = site.client(record);
    // Saves whose callers stop waiting while they run: the runs end, the callers don't know.
    let mut saves: Vec<Call> =
        (0..8).map(|n| Call::new("label-save", &format!("label {n}"), 4_000)).collect();
    for save in &mut saves {
        let sequence = client.send(save);
        sleep_ms(100);
        client.cancel(sequence);
    }
    sleep_ms(1_500);
    // Work that the old process still has at the hand-over.
    site.processor.set_run_ms(2_500);
    let mut open: Vec<Call> = (0..3).map(|n| Call::new("sheet-view", &format!("sheet {n}"), 4_000)).collect();
    let sequences: Vec<i32> = open.iter_mut().map(|call| client.send(call)).collect();
    sleep_ms(50);
    let mut new = None;
    if trouble {
        let processor = Processor::start(&site.machine, record, 600);
        new = Some(site.start_new(record, processor));
        site.hand_over(record, &old, || sleep_ms(20));
        sleep_ms(100);
    }
    let mut violations = Vec::new();
    for save in &saves {
        let runs = site.machine.runs_of(&save.token);
        let (answer, _) = site.client(record).call(&mut save.retry());
        if runs > 0 && answer == Answer::Refused {
            violations
                .push(format!("a label-save that has run {runs} times is turned away as one that never ran"));
        }
        let runs = site.machine.runs_of(&save.token);
        if runs > 1 {
            violations.push(format!("a label-save ran {runs} times"));
        }
    }
    for (sequence, call) in sequences.into_iter().zip(&open) {
        client.answer(sequence, call.t0 + 4_200);
    }
    record.note(format!(
        "ended: the old process {:?}, the new one {:?}",
        old.ended(),
        new.as_mut().map(Server::ended)
    ));
    violations
}
