//! The cases. Each returns `None` if its rule held, or what broke it.

use crate::rig::*;
use crate::register::{CallingProcessor, Ledger, config_text};
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;

type Verdict = Outcome<Option<String>>;

pub fn run(name: &str, trouble: bool) -> Verdict {
    match name {
        "scgi-stall" => scgi_stall(trouble),
        "window-longer" => window_longer(trouble),
        "window-missing" => window_missing(trouble),
        "drain-upgrade" => drain_upgrade(trouble),
        "store-upgrade" => store_upgrade(trouble),
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
        listener: None,
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

/// Replaces the configuration file and sends SIGHUP.
fn reload(server: u32, folder: &Folder, config: &Config, what: &str) -> Outcome<()> {
    folder.write("config.json", &config.text())?;
    record(&format!("platform: a new configuration file, {what}"));
    signal(server, SIGHUP);
    Ok(())
}

fn record_reloads(admin: u16) {
    let counted = |name| metric(admin, name).unwrap_or(-1.0);
    let (accepted, invalid) = (counted("server_cfg_accepted_total"), counted("server_cfg_invalid_total"));
    record(&format!("operators' door: files taken {accepted}, turned down {invalid}"));
}

/// A server of its own listener with a configuration in `config.json`, ready and warm.
fn single_server(folder: &Folder, config: &Config) -> Outcome<u32> {
    let path = folder.write("config.json", &config.text())?;
    let server = start_server(&Start {
        config: &path,
        tmp: &folder.0,
        log: folder.0.join("server.log"),
        settings: None,
        listener: None,
        admin: config.admin,
    })?;
    warm_up(config.listen)?;
    Ok(server.id())
}

/// Sends a save and its retry `retry_after_ms` later, each on a connection of its own, with `between` in between. Returns the age
/// of the retry.
fn save_twice(port: u16, body: &str, retry_after_ms: u64, between: impl FnOnce() -> Outcome<()>) -> Outcome<u64> {
    let token = new_token();
    let (t0, answer) = Client::connect(port)?.call(&save(body, &token, false), 3200)?;
    if !matches!(answer, Answer::Served(_)) {
        return Err("the first try was not served".into());
    }
    between()?;
    sleep_until(t0 + retry_after_ms);
    let (written, _) = Client::connect(port)?.call(&save(body, &token, true), 3200)?;
    record(&format!("the retry was written {} ms after t0 of the try that ran", written - t0));
    Ok(written - t0)
}

/// A new file at SIGHUP lengthens the window of `label-save` while a run is known.
fn window_longer(trouble: bool) -> Verdict {
    let (folder, processor, control) = (Folder::new()?, Processor::start("processor"), start_control());
    let (old_ms, new_ms) = (3_000, 12_075);
    let config =
        Config { listen: free_port(), processor: processor.port, control, admin: free_port(), window_ms: Some(old_ms) };
    let server = single_server(&folder, &config)?;
    sleep_ms(1000);
    let body = "the label of sheet 7";
    let age = save_twice(config.listen, body, 5_000, || {
        sleep_ms(500);
        if trouble {
            let new = Config { window_ms: Some(new_ms), ..config.clone() };
            reload(server, &folder, &new, &format!("window of label-save {new_ms} ms (was {old_ms} ms)"))?;
        }
        sleep_ms(1500);
        record_reloads(config.admin);
        Ok(())
    })?;
    let in_force = if trouble { new_ms } else { old_ms };
    record(&format!("the window in force is {in_force} ms"));
    if age >= in_force {
        processor.record_runs_of(body);
        record("the retry came after the window, so it may run");
        return Ok(None);
    }
    Ok(ran_once(&processor, body))
}

/// A new file at SIGHUP lacks the key `window` of `label-save`, and is to be turned down whole.
fn window_missing(trouble: bool) -> Verdict {
    let (folder, processor, control) = (Folder::new()?, Processor::start("processor"), start_control());
    let config =
        Config { listen: free_port(), processor: processor.port, control, admin: free_port(), window_ms: Some(12_075) };
    let server = single_server(&folder, &config)?;
    sleep_ms(1000);
    if trouble {
        reload(server, &folder, &Config { window_ms: None, ..config.clone() }, "without the key window of label-save")?;
    }
    sleep_ms(1500);
    record_reloads(config.admin);
    let body = "the label of sheet 7";
    save_twice(config.listen, body, 2_000, || Ok(()))?;
    record("the window is 12075 ms in the only file that has all keys");
    Ok(ran_once(&processor, body))
}

/// Asks for the health on a connection of its own.
fn health(port: u16) -> Answer {
    Client::connect(port).and_then(|mut client| client.health(1000)).unwrap_or_else(Answer::Nothing)
}

/// The platform's listening socket for clients.
fn platform_listener() -> Outcome<(TcpListener, u16)> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
    let port = listener.local_addr().map_err(|e| e.to_string())?.port();
    Ok((listener, port))
}

/// An operator drains the server, then it is upgraded; nobody ends the drain.
fn drain_upgrade(trouble: bool) -> Verdict {
    let folder = Folder::new()?;
    let (old_processor, new_processor) = (Processor::start("old processor"), Processor::start("new processor"));
    let (control, old_admin, new_admin) = (start_control(), free_port(), free_port());
    let (listener, listen) = platform_listener()?;
    let config = Config { listen, processor: old_processor.port, control, admin: old_admin, window_ms: Some(12_075) };
    let path = folder.write("old.json", &config.text())?;
    let start = |config, log: &str, admin| Start {
        config,
        tmp: &folder.0,
        log: folder.0.join(log),
        settings: None,
        listener: Some(&listener),
        admin,
    };
    let old = start_server(&start(&path, "old.log", old_admin))?;
    warm_up(listen)?;
    if health(listen) != Answer::Health(true) {
        return Err("health is not good before the drain".into());
    }
    let called = unix_ms();
    record("operator: POST /healthcheck/fail at the server's door");
    if door(old_admin, "POST /healthcheck/fail") != Some(200) {
        return Err("the drain was not accepted".into());
    }
    sleep_until(called + 1000);
    if trouble {
        let config = Config { processor: new_processor.port, admin: new_admin, ..config };
        let path = folder.write("new.json", &config.text())?;
        start_server(&start(&path, "new.log", new_admin))?;
        signal(old.id(), SIGTERM);
    }
    sleep_until(called + 4100);
    let (mut good, mut bad, mut first) = (0, 0, None);
    while unix_ms() < called + 8000 {
        let answer = health(listen);
        let after = unix_ms() - called;
        match &answer {
            Answer::Health(true) => {
                good += 1;
                first.get_or_insert(after);
            }
            _ => bad += 1,
        }
        if good + bad <= 3 {
            record(&format!("platform: health check {after} ms after the operator's call: {answer:?}"));
        }
        sleep_ms(100);
    }
    record(&format!("platform: from 4.1 s to 8 s after the call, {good} good answers and {bad} bad ones"));
    let client = Client::connect(listen).and_then(|mut client| {
        client.call(&Try { class: "sheet-view", token: None, body: "view of sheet 7".into(), budget_ms: 3000, again: false }, 3200)
    });
    record(&format!("client sent by the list: {client:?}"));
    Ok(first.map(|after| {
        format!("{good} of {} health checks were good 4 s and more after the operator's call, the first after {after} ms; the drain was never ended", good + bad)
    }))
}

/// A save runs in the old process; its retry comes to the new one while both are there.
fn store_upgrade(trouble: bool) -> Verdict {
    let folder = Folder::new()?;
    let (old_processor, new_processor) = (Processor::start("old processor"), Processor::start("new processor"));
    let (control, old_admin, new_admin) = (start_control(), free_port(), free_port());
    let (listener, listen) = platform_listener()?;
    let config = Config { listen, processor: old_processor.port, control, admin: old_admin, window_ms: Some(12_075) };
    let path = folder.write("old.json", &config.text())?;
    let store = folder.0.join("store");
    let settings = folder.write("store.kdl", &format!("store {{\n    path \"{}\"\n    patience-ms 2000\n}}\n", store.display()))?;
    let start = |config, log: &str, admin| Start {
        config,
        tmp: &folder.0,
        log: folder.0.join(log),
        settings: Some(&settings),
        listener: Some(&listener),
        admin,
    };
    let old = start_server(&start(&path, "old.log", old_admin))?;
    warm_up(listen)?;
    // A client whose connection keeps the old process up while it hands over.
    old_processor.set_run_ms("deep-zoom", 2500);
    let (body, token) = ("the label of sheet 7", new_token());
    let (t0, answer) = Client::connect(listen)?.call(&save(body, &token, false), 3200)?;
    if !matches!(answer, Answer::Served(_)) {
        return Err("the first try was not served".into());
    }
    let mut slow = Client::connect(listen)?;
    if trouble {
        let config = Config { processor: new_processor.port, admin: new_admin, ..config };
        let path = folder.write("new.json", &config.text())?;
        slow.send(&Try { class: "deep-zoom", token: None, body: "zoom into sheet 7".into(), budget_ms: 5000, again: false })?;
        start_server(&start(&path, "new.log", new_admin))?;
        signal(old.id(), SIGTERM);
        sleep_ms(300);
    }
    let (written, answer) = Client::connect(listen)?.call(&save(body, &token, true), 3200)?;
    record(&format!("the retry was written {} ms after t0 of the try that ran", written - t0));
    if let Some(twice) = ran_once(&old_processor, body).or_else(|| ran_once(&new_processor, body)) {
        return Ok(Some(twice));
    }
    if old_processor.runs_of(body) + new_processor.runs_of(body) > 1 {
        return Ok(Some("one label-save ran in both processes".into()));
    }
    Ok((answer == Answer::Refused).then(|| "a label-save that had run was refused".to_string()))
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
        listener: None,
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
