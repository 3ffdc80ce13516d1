//! The cases. Each returns `None` if its rule held, or what broke it.

use crate::rig::*;
use crate::register::{CallingProcessor, Ledger, config_text};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;

type Verdict = Outcome<Option<String>>;

pub fn run(name: &str, trouble: bool) -> Verdict {
    match name {
        "scgi-stall" => scgi_stall(trouble),
        "stale-reply" => stale_reply(trouble),
        _ => Err(format!("no case {name}")),
    }
}

/// The verdict on a keyed request whose tries have the body `body`, the last of them written within the window.
fn ran_once(processor: &Processor, body: &str) -> Option<String> {
    processor.record_runs_of(body);
    let runs = processor.runs_of(body);
    (runs > 1).then(|| format!("one label-save ran {runs} times within its window"))
}

/// A retry over SCGI is written within the window while the process stands still, and read after it.
fn scgi_stall(trouble: bool) -> Verdict {
    let (folder, processor, control) = (Folder::new()?, Processor::start("processor"), start_control());
    let (listen, scgi, admin) = (free_port(), free_port(), free_port());
    let window = 12_075;
    let config = Config { listen, processor: processor.port, control, admin, window_ms: Some(window) };
    let path = folder.write("config.json", &config.text())?;
    let settings = folder.write(
        "scgi.kdl",
        &format!(
            "scgi {{\n    listen \"127.0.0.1:{scgi}\"\n    route \"/labels/{{id}}\" method=\"PUT\" class=\"label-save\"\n    health \"/health\"\n}}\n"
        ),
    )?;
    let server = start_server(&Start {
        config: &path,
        tmp: &folder.0,
        log: folder.0.join("server.log"),
        settings: Some(&settings),
        admin,
    })?;
    warm_up(listen)?;
    let (body, token) = ("the label of sheet 7", new_token());
    let (t0, answer) = Client::connect(listen)?.call(&save(body, &token, false), 3200)?;
    if !matches!(answer, Answer::Served(_)) {
        return Err("the first try was not served".into());
    }
    let closes = t0 + window;
    sleep_until(closes - 700);
    if trouble {
        signal(server.id(), SIGSTOP);
    }
    sleep_until(closes - 500);
    let headers = [("HTTP_X_TENANT", "etela-kasvio"), ("HTTP_X_RETRY", "1"), ("HTTP_IDEMPOTENCY_KEY", token.as_str())];
    let retry = scgi_send(scgi, "PUT", "/labels/7", &headers, body)?;
    let written = unix_ms();
    record(&format!("the retry was written {} ms after t0 of the try that ran; the window is {window} ms", written - t0));
    if written >= closes {
        return Err("the retry was written too late".into());
    }
    sleep_until(closes + 300);
    if trouble {
        signal(server.id(), SIGCONT);
    }
    retry.answer(5000)?;
    Ok(ran_once(&processor, body))
}

/// How long the clients of [`stale_reply`] send at the most, and the pause between breaks of the link.
const LOAD_MS: u64 = 90_000;
const BREAK_EVERY_MS: u64 = 3_000;

/// Under load, the link to the processor breaks now and then; each run must get the replies to its own calls.
fn stale_reply(trouble: bool) -> Verdict {
    let (folder, processor, control) = (Folder::new()?, CallingProcessor::start(), start_control());
    let (ledger, listen, admin) = (Ledger::start(20), free_port(), free_port());
    let text = config_text(listen, processor.port, control, admin, ledger.port)?;
    let path = folder.write("config.json", &text)?;
    start_server(&Start {
        config: &path,
        tmp: &folder.0,
        log: folder.0.join("server.log"),
        settings: None,
        admin,
    })?;
    let stop = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicU64::new(0));
    let clients: Vec<_> = (0..48)
        .map(|client| {
            let (stop, served) = (Arc::clone(&stop), Arc::clone(&served));
            thread::spawn(move || {
                let mut connection = Client::connect(listen).ok();
                for n in 0.. {
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    let keyed = n % 2 == 0;
                    let attempt = Try {
                        class: if keyed { "issue-contract" } else { "draft-preview" },
                        token: keyed.then(new_token),
                        body: format!("warm-up: contract {n} of client {client}"),
                        budget_ms: 6_000,
                        again: false,
                    };
                    match connection.as_mut().map(|connection| connection.call(&attempt, 7_000)) {
                        Some(Ok((_, Answer::Served(_)))) => drop(served.fetch_add(1, Ordering::Relaxed)),
                        Some(Ok((_, Answer::Refused | Answer::Failed(_)))) => sleep_ms(20),
                        _ => connection = Client::connect(listen).ok(),
                    }
                }
            })
        })
        .collect();
    let start = unix_ms();
    let mut breaks = 0;
    while unix_ms() < start + LOAD_MS - BREAK_EVERY_MS {
        sleep_ms(BREAK_EVERY_MS);
        if trouble {
            processor.break_link();
            breaks += 1;
        }
        if !processor.replies().1.is_empty() {
            break;
        }
    }
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));
    let (right, wrong, dropped) = processor.replies();
    let (calls, repeated) = ledger.calls();
    let served = served.load(Ordering::Relaxed);
    record(&format!("clients: {served} requests served"));
    record(&format!("ledger: {calls} calls, {repeated} of them with a body that came before"));
    record(&format!("processor: {breaks} breaks, {right} right replies, {} wrong ones, {dropped} for runs that waited for no call", wrong.len()));
    if served < 200 {
        return Err("too little was served".into());
    }
    Ok((!wrong.is_empty()).then(|| format!("{} runs got the reply to another call, first: {}", wrong.len(), wrong[0])))
}
