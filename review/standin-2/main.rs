//! The cases of the second review. `standin CASE FOLDER`: plays the case and writes `record.txt` to its folder. Status 1: the
//! rule was broken; 0: it held; 2: the case couldn't run. `TROUBLE=0` leaves out the disruption.

mod missing_window;
mod platform;
mod scgi_upgrade;
mod site;
mod store_upgrade;

use platform::{Record, end_processes, watchdog};
use std::path::Path;
use std::time::Duration;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else { platform::cannot_run("usage: standin CASE FOLDER") };
    watchdog(Duration::from_secs(110));
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(Path::new(folder));
    record.note(format!("case {case}, {} the disruption", if trouble { "with" } else { "without" }));
    let violations = match case.as_str() {
        "missing-window" => missing_window::play(&record, trouble),
        "store-upgrade" => store_upgrade::play(&record, trouble),
        "scgi-upgrade" => scgi_upgrade::play(&record, trouble),
        _ => platform::cannot_run("no such case"),
    };
    end_processes();
    for violation in &violations {
        record.note(format!("RULE BROKEN: {violation}"));
        println!("rule broken: {violation}");
    }
    let verdict = if violations.is_empty() { "the rule held" } else { "the rule was broken" };
    record.note(verdict);
    println!("{verdict}");
    std::process::exit(i32::from(!violations.is_empty()));
}
