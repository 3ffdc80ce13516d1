//! Stand-ins for a deployment whose runs call a ledger: a processor whose runs wait for calls, in ticks of the site's day, and the
//! ledger. As users/PROTOCOL describes them.

use crate::rig::{Outcome, new_id, record, sleep_ms};
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// `tick_ms` of the site file of windhoek-forms.
const TICK_MS: u64 = 4;

/// A run that calls twice.
struct Run {
    class: String,
    /// Number of calls asked for so far.
    calls: u32,
    /// Body of the call that the run waits for.
    waits_for: Option<String>,
    /// End of the present piece of work.
    works_until: Instant,
    /// Length of the next pieces of work.
    work_ms: u64,
    started: Instant,
}

#[derive(Default)]
struct State {
    notices: Vec<Vec<u8>>,
    link: Option<(u64, TcpStream)>,
    links: u64,
    /// Bytes of each link that were not worked on yet.
    unread: HashMap<u64, Vec<u8>>,
    runs: HashMap<String, Run>,
    ended: HashMap<String, &'static str>,
    wrong: Vec<String>,
    right: u64,
    replies_dropped: u64,
}

/// The processor: works on what it read in ticks. A run works, calls, works, calls, works and ends.
#[derive(Clone)]
pub struct CallingProcessor {
    pub port: u16,
    started: Instant,
    state: Arc<Mutex<State>>,
}

impl CallingProcessor {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let port = listener.local_addr().unwrap().port();
        let processor = Self { port, started: Instant::now(), state: Arc::default() };
        let (accepting, ticking) = (processor.clone(), processor.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                accepting.accept(stream);
            }
        });
        thread::spawn(move || {
            loop {
                sleep_ms(TICK_MS);
                ticking.tick();
            }
        });
        processor
    }

    /// Breaks the link; commands that were not worked on are lost with it, at most those of one tick.
    pub fn break_link(&self) {
        let mut state = self.state.lock().unwrap();
        if let Some((number, link)) = state.link.take() {
            state.unread.remove(&number);
            let _ = link.shutdown(Shutdown::Both);
            record("processor: the link breaks");
        }
    }

    /// Right replies, wrong ones, and replies for runs that waited for no call.
    pub fn replies(&self) -> (u64, Vec<String>, u64) {
        let state = self.state.lock().unwrap();
        (state.right, state.wrong.clone(), state.replies_dropped)
    }

    fn accept(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut state = self.state.lock().unwrap();
        state.links += 1;
        let number = state.links;
        if let Some((_, before)) = state.link.replace((number, stream.try_clone().unwrap())) {
            let _ = before.shutdown(Shutdown::Both);
        }
        state.unread.clear();
        state.unread.insert(number, Vec::new());
        drop(state);
        let (processor, mut stream) = (self.clone(), stream);
        thread::spawn(move || {
            let mut chunk = [0_u8; 16384];
            while let Ok(n) = stream.read(&mut chunk) {
                let mut state = processor.state.lock().unwrap();
                match state.unread.get_mut(&number) {
                    Some(unread) if n > 0 => unread.extend_from_slice(&chunk[..n]),
                    _ => return,
                }
            }
        });
    }

    fn tick(&self) {
        let mut state = self.state.lock().unwrap();
        let mut out = Vec::new();
        if let Some(number) = state.link.as_ref().map(|(number, _)| *number) {
            let mut bytes = state.unread.insert(number, Vec::new()).unwrap_or_default();
            while let Some((words, body, used)) = command(&bytes) {
                bytes.drain(..used);
                self.command(&mut state, &words, body, &mut out);
            }
            state.unread.insert(number, bytes);
        }
        self.advance(&mut state, &mut out);
        if !out.is_empty()
            && let Some((_, link)) = &mut state.link
        {
            let _ = link.write_all(&out);
        }
    }

    fn command(&self, state: &mut State, words: &[String], body: String, out: &mut Vec<u8>) {
        match words.iter().map(String::as_str).collect::<Vec<_>>()[..] {
            ["hello", last] => {
                out.extend(format!("hi WARM {}\r\n", self.started.elapsed().as_millis()).into_bytes());
                let last = last.parse().unwrap_or(0);
                state.notices.iter().skip(last).for_each(|notice| out.extend_from_slice(notice));
            }
            ["begin", id, class, _] => {
                if state.ended.contains_key(id) {
                    notice(state, out, |number| format!("complete {number} {id} MOOT 0 0\r\n\r\n"));
                } else if !state.runs.contains_key(id) {
                    let work_ms = 20 + id.bytes().map(u64::from).sum::<u64>() % 61;
                    let works_until = Instant::now() + Duration::from_millis(work_ms);
                    let class = class.to_string();
                    let run = Run { class, calls: 0, waits_for: None, works_until, work_ms, started: Instant::now() };
                    state.runs.insert(id.to_string(), run);
                }
            }
            ["answer", id, _] => match state.runs.get_mut(id) {
                Some(run) if run.waits_for.is_some() => {
                    let call = run.waits_for.take().unwrap();
                    run.works_until = Instant::now() + Duration::from_millis(run.work_ms);
                    if body == format!("reply to {call}") {
                        state.right += 1;
                    } else {
                        let wrong = format!("run {id} of {} waits for the reply to '{call}' and gets '{body}'", run.class);
                        record(&format!("processor: {wrong}"));
                        state.wrong.push(wrong);
                    }
                }
                _ => {
                    state.replies_dropped += 1;
                    out.extend(format!("reject answer {id}\r\n").into_bytes());
                }
            },
            ["usage", tag] => {
                // Two thirds of each piece of work wait for the disk.
                let on_cores = state.runs.values().filter(|run| run.waits_for.is_none()).count().div_ceil(3);
                let busy = (on_cores as f64 / 6.0).min(1.0);
                out.extend(format!("used {tag} {busy:.3} {on_cores} 0.1 20\r\n").into_bytes());
            }
            ["interrupt", ..] => {}
            _ => record(&format!("processor: not a command: {words:?}")),
        }
    }

    /// Runs whose piece of work is done ask for their next call, or end.
    fn advance(&self, state: &mut State, out: &mut Vec<u8>) {
        let now = Instant::now();
        let done: Vec<String> = state
            .runs
            .iter()
            .filter(|(_, run)| run.waits_for.is_none() && run.works_until <= now)
            .map(|(id, _)| id.clone())
            .collect();
        for id in done {
            let run = state.runs.get_mut(&id).unwrap();
            if run.calls < 2 {
                run.calls += 1;
                let call = format!("call {} of {id}", run.calls);
                run.waits_for = Some(call.clone());
                notice(state, out, |number| format!("ask {number} {id} {}\r\n{call}\r\n", call.len()));
            } else {
                let ms = run.started.elapsed().as_millis();
                state.runs.remove(&id);
                state.ended.insert(id.clone(), "OK");
                let result = format!("result of {id}");
                notice(state, out, |number| format!("complete {number} {id} OK {ms} {}\r\n{result}\r\n", result.len()));
            }
        }
    }
}

fn notice(state: &mut State, out: &mut Vec<u8>, text: impl FnOnce(usize) -> String) {
    let bytes = text(state.notices.len() + 1).into_bytes();
    out.extend_from_slice(&bytes);
    state.notices.push(bytes);
}

/// The first whole command of the bytes: its words, its body and its length.
fn command(bytes: &[u8]) -> Option<(Vec<String>, String, usize)> {
    let end = bytes.windows(2).position(|two| two == b"\r\n")?;
    let line = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let words: Vec<String> = line.split(' ').map(String::from).collect();
    if !matches!(words[0].as_str(), "begin" | "answer") {
        return Some((words, String::new(), end + 2));
    }
    let length: usize = words.last()?.parse().ok()?;
    let body = String::from_utf8_lossy(bytes.get(end + 2..end + 2 + length)?).into_owned();
    bytes.get(end + 2 + length..end + 4 + length)?;
    Some((words, body, end + 4 + length))
}

/// The ledger: answers each call with 200 after `delay_ms`, and counts the calls by their bodies.
pub struct Ledger {
    pub port: u16,
    calls: Arc<Mutex<HashMap<String, u32>>>,
}

impl Ledger {
    pub fn start(delay_ms: u64) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let port = listener.local_addr().unwrap().port();
        let calls: Arc<Mutex<HashMap<String, u32>>> = Arc::default();
        let counting = Arc::clone(&calls);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let calls = Arc::clone(&counting);
                thread::spawn(move || serve(stream, &calls, delay_ms));
            }
        });
        Self { port, calls }
    }

    /// Number of calls, and of those with a body that came before.
    pub fn calls(&self) -> (u32, u32) {
        let calls = self.calls.lock().unwrap();
        (calls.values().sum(), calls.values().map(|count| count - 1).sum())
    }
}

fn serve(mut stream: TcpStream, calls: &Mutex<HashMap<String, u32>>, delay_ms: u64) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let mut bytes = Vec::new();
    let mut chunk = [0_u8; 4096];
    loop {
        let head = bytes.windows(4).position(|four| four == b"\r\n\r\n");
        let whole = head.and_then(|head| {
            let text = String::from_utf8_lossy(&bytes[..head]).to_ascii_lowercase();
            let length: usize = text.split("content-length:").nth(1)?.split("\r\n").next()?.trim().parse().ok()?;
            (bytes.len() >= head + 4 + length).then_some((head + 4, head + 4 + length))
        });
        let Some((start, end)) = whole else {
            match stream.read(&mut chunk) {
                Ok(0) | Err(_) => return None,
                Ok(n) => bytes.extend_from_slice(&chunk[..n]),
            }
            continue;
        };
        let body = String::from_utf8_lossy(&bytes[start..end]).into_owned();
        bytes.drain(..end);
        *calls.lock().unwrap().entry(body.clone()).or_default() += 1;
        sleep_ms(delay_ms);
        let reply = format!("reply to {body}");
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{reply}", reply.len());
        stream.write_all(answer.as_bytes()).ok()?;
    }
}

/// The configuration file of a small windhoek-forms: classes, times and rules of its site file.
pub fn config_text(listen: u16, processor: u16, control: u16, admin: u16, ledger: u16) -> Outcome<String> {
    let class = |name: &str, promise: u64, deadline: u64, effect: &str, window: u64, worth: f64| {
        format!(
            r#"{{"deadline": {deadline}000000, "effect": "{effect}", "late_value": 0.0, "name": "{name}", "promise": {promise}000000, "window": {window}000000, "worth": {worth}}}"#
        )
    };
    let draft = class("draft-preview", 2500, 6200, "repeatable", 5000, 1.0);
    let clause = class("clause-lookup", 1200, 4700, "repeatable", 5000, 1.0);
    let issue = class("issue-contract", 3700, 12000, "by_key", 37398, 3.0);
    Ok(format!(
        r#"{{"name": "n1", "listen": "127.0.0.1:{listen}", "processor": "127.0.0.1:{processor}", "control": "127.0.0.1:{control}", "ledger": "127.0.0.1:{ledger}",
 "admin_addr": "127.0.0.1:{admin}", "seed": "{}", "stop_ms": 3500, "limits": {{"cores": 1.0, "memory_mb": 192, "sockets": 512}},
 "settings": {{"callers": {{"marks_retry": false}}, "customers": [{{"name": "etela-kasvio", "portion": 1.0, "quota_rps": 180.0}}],
 "family": "server", "goal": {{"whole": 0.35, "worst_class": 0.2, "worst_tenant": 0.35, "worst_window": 0.1}}, "granularity": 4000000,
 "limits": {{"cpu_us_per_request": 0.0, "cpu_us_per_s": 60000, "max_retry_after": 1000000000, "retry_after": true}}, "me": 0,
 "over_share_worth": 0.05, "prices": {{"connection": 0.0, "handshake": 0.0, "late_fail": 0.042, "origin": 0.0, "waste": 0.03}},
 "profiles": [{draft}, {clause}, {issue}], "report": {{"how": "inline", "names": ["qps"]}},
 "rules": {{"answer_slack": 100000000, "cold": 18000000000, "cold_share": 0.24, "drain_grace": 2000000000, "fall": 1500000000, "tip_multiple": 8.0}},
 "servers": 1,
 "specifics": {{"advert": "window", "below": "shared", "calls_by_class": [true, false, true], "calls_out": 12.0, "class_skip_worth": [0.0, 0.0, 0.0], "clients_total": 3, "fresh_for": 0, "full_checks": false, "gauges": ["core_use", "on_cores", "heap_share", "links"], "heeded": 1000000000, "idle": 15000000000, "just_started": false, "kb_per_key": 20.0, "linger": 200000000, "list_follows": false, "memory_kb": 16384.0, "n_cores": 6, "passes_deadline": true, "run_factor": 8.0, "share_span": 5000000000, "stop_mode": "abort", "tells_gone": true}},
 "stages": ["form-builders"], "tier": 0, "worth_by": "request", "zone": "eros", "zones": ["klein-windhoek", "eros", "olympia"]}}}}"#,
        new_id()
    ))
}
