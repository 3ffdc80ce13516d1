//! Cases 8 and 9 of the second review: `cases NAME FOLDER`. Exit status 1 if the rule was broken, 0 if it held, 2 if the
//! case could not run. `TROUBLE=0` leaves the disruption out.

mod cases;
mod register;
mod rig;

use std::path::PathBuf;
use std::thread;
use std::time::Duration;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder] = &arguments[..] else {
        eprintln!("usage: cases NAME FOLDER");
        std::process::exit(rig::NOT_RUN);
    };
    let folder = PathBuf::from(folder);
    if let Err(e) = rig::open_record(&folder.join("record.txt")) {
        eprintln!("{}: {e}", folder.display());
        std::process::exit(rig::NOT_RUN);
    }
    thread::spawn(|| {
        thread::sleep(Duration::from_secs(112));
        rig::record("the case took too long");
        rig::kill_children();
        std::process::exit(rig::NOT_RUN);
    });
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    rig::record(&format!("case {name}, {} the disruption", if trouble { "with" } else { "without" }));
    let outcome = cases::run(name, trouble);
    rig::kill_children();
    let status = match outcome {
        Ok(None) => {
            rig::record("HELD");
            rig::HELD
        }
        Ok(Some(what)) => {
            rig::record(&format!("BROKEN: {what}"));
            println!("{what}");
            rig::BROKEN
        }
        Err(why) => {
            rig::record(&format!("NOT RUN: {why}"));
            println!("could not run: {why}");
            rig::NOT_RUN
        }
    };
    std::process::exit(status);
}
