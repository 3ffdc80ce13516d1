//! Case 1: an upgrade while keyed runs are under way. The new process refuses, as never run, tries of requests that the
//! old one has run.

#[path = "../standin/common.rs"]
mod common;

use common::*;
use std::collections::{BTreeMap, HashMap};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Settings of the deployment kasvio-tiles, in the form of the wire's page.
const SETTINGS: &str = r#"{"callers":{"marks_retry":true},
"customers":[{"name":"etela-kasvio","portion":1.0,"quota_rps":1000.0}],"family":"server",
"goal":{"whole":0.4,"worst_class":0.2,"worst_tenant":0.1,"worst_window":0.3},"granularity":2000000,
"limits":{"cpu_us_per_request":0.0,"cpu_us_per_s":64255,"max_retry_after":1000000000,"retry_after":true},"me":1,
"over_share_worth":0.05,"prices":{"connection":0.0,"handshake":0.0,"late_fail":0.083,"origin":0.0,"waste":0.08},
"profiles":[
{"deadline":4000000000,"effect":"repeatable","late_value":0.0,"name":"sheet-view","promise":1600000000,"window":5000000000,"worth":1.0},
{"deadline":4000000000,"effect":"by_key","late_value":0.2,"name":"label-save","promise":1600000000,"window":12075000000,"worth":4.0}],
"report":{"how":"inline","names":["latency_ms"]},
"rules":{"answer_slack":100000000,"cold":18000000000,"cold_share":0.21,"drain_grace":1800000000,"fall":1500000000,"tip_multiple":8.0},
"servers":1,
"specifics":{"advert":"threshold","below":"off","calls_by_class":[false,false],"calls_out":0.0,"class_skip_worth":[0.0,0.0],
"clients_total":3,"fresh_for":0,"full_checks":false,"gauges":["core_use","on_cores","heap_share","links"],"heeded":1000000000,
"idle":15000000000,"just_started":false,"kb_per_key":3.0,"linger":200000000,"list_follows":true,"memory_kb":16000.0,"n_cores":6,
"passes_deadline":true,"run_factor":8.0,"share_span":5000000000,"stop_mode":"off","tells_gone":true},
"stages":["tile-servers"],"tier":0,"worth_by":"request","zone":"lahti-1","zones":["lahti-1"]}"#;
const STOP_MS: u64 = 3700;
/// How long the clients behind the client proxies wait for a save in all.
const PATIENCE_MS: u64 = 700;
/// A save's run: 300 ms of work on a small box of speed 0.55.
const RUN_MS: f64 = 545.0;
const SAVES: usize = 6;

fn main() {
    let folder =
        |n| PathBuf::from(std::env::args().nth(n).unwrap_or_else(|| cannot_run("two folders are needed")));
    let (case, tmp) = (folder(1), folder(2));
    let (root, record) = (root(&case), Record::create(&case));
    record.line(format!("trouble: {}", trouble()));
    let machine = Machine::start(6.0, 16000.0, 8.0, 1500);
    // The runs of these saves fail in the end, so their callers try again.
    let work: Work =
        Arc::new(|class, _| Job { cpu_ms: RUN_MS, fails: class == "label-save", ..Job::default() });
    let control = control_plane(&record);
    let (listener, listen) = listen();
    let shared = tmp.join("shared");
    std::fs::create_dir_all(&shared).expect("a folder");
    let start = |name: &str| {
        let processor = Processor::start(name, &machine, Arc::clone(&work), &record);
        let admin = free_address();
        let config = tmp.join(format!("{name}.json"));
        let (address, settings) = (processor.address, SETTINGS.to_string());
        Config {
            listen,
            processor: address,
            control,
            ledger: None,
            admin,
            stop_ms: STOP_MS,
            memory_mb: 192,
            settings,
        }
        .write(&config);
        let log = case.join(format!("{name}.log"));
        let env =
            ServerEnv { root: &root, config: &config, tmp: &shared, log: &log, listener: Some(&listener) };
        let server = Server::start(name, &env, &record);
        wait_ready(admin, 6000);
        (server, processor)
    };
    let (mut old, old_processor) = start("old");
    let mut processors = vec![old_processor];

    type Answers = Arc<Mutex<HashMap<String, (Answer, u64)>>>;
    let answers: Answers = Arc::default();
    let answered = Arc::clone(&answers);
    let on_answer: OnAnswer = Arc::new(move |request, answer, took| {
        answered.lock().unwrap().insert(request.rid.clone(), (answer, took));
    });
    let connect = |name: &str| {
        Connection::open(name, listen, &machine, &record, Arc::clone(&on_answer))
            .unwrap_or_else(|e| cannot_run(&e.to_string()))
    };
    let save = |n: usize, budget_ms: u64, first: Option<&Request>| Request {
        rid: format!("{:016x}", 0x1000 * (1 + u64::from(first.is_some())) + n as u64),
        class: "label-save",
        tenant: "etela-kasvio",
        budget_ms,
        kb: 24.0,
        token: first.map_or(Some(format!("{:032x}", 0x5a7e + n)), |first| first.token.clone()),
        again: first.is_some(),
        body: format!("label {n}").into_bytes(),
    };
    let proxy = connect("proxy");
    let firsts: Vec<Request> = (0..SAVES).map(|n| save(n, PATIENCE_MS, None)).collect();
    for first in &firsts {
        proxy.send(first);
    }
    let sent = Instant::now();
    sleep_ms(100);
    let mut new = None;
    if trouble() {
        let (server, processor) = start("new");
        processors.push(processor);
        new = Some(server);
        old.signal(SIGTERM);
    }
    // Each save that failed is tried again, with the time that its caller still waits. A connection that is asked to
    // drain takes no more requests; then the client proxy opens another one.
    let mut again: Vec<Option<Request>> = vec![None; SAVES];
    let mut other = None;
    while sent.elapsed() < Duration::from_millis(PATIENCE_MS) {
        for (n, first) in firsts.iter().enumerate() {
            let answer = answers.lock().unwrap().get(&first.rid).cloned();
            if let (None, Some((Answer::Failed, _))) = (&again[n], answer) {
                let left = PATIENCE_MS.saturating_sub(sent.elapsed().as_millis() as u64);
                let retry = save(n, left, Some(first));
                if !proxy.send(&retry) {
                    other.get_or_insert_with(|| connect("proxy, new connection")).send(&retry);
                }
                again[n] = Some(retry);
            }
        }
        sleep_ms(1);
    }
    sleep_ms(1000);
    if trouble() {
        old.wait_until(Instant::now() + Duration::from_millis(STOP_MS));
    }
    if new.as_mut().is_some_and(|new| new.ended().is_some()) {
        cannot_run("the new process ended");
    }
    drop((old, new));

    let mut runs: BTreeMap<Vec<u8>, Vec<String>> = BTreeMap::new();
    for processor in &processors {
        for (id, _, body) in processor.begun() {
            runs.entry(body).or_default().push(id);
        }
    }
    let answers = answers.lock().unwrap();
    let (mut tried, mut refused, mut twice) = (0, 0, 0);
    for (first, retry) in firsts.iter().zip(&again) {
        let ran = runs.get(&first.body).cloned().unwrap_or_default();
        twice += usize::from(ran.len() > 1);
        let Some(retry) = retry.as_ref().filter(|_| ran.contains(&first.rid)) else { continue };
        tried += 1;
        if matches!(answers.get(&retry.rid), Some((Answer::Refused, _))) {
            refused += 1;
            record.say(format!(
                "{} ran; its next try {}, with {} ms left, was refused",
                first.rid, retry.rid, retry.budget_ms
            ));
        }
    }
    if tried == 0 {
        cannot_run("no save was tried again");
    }
    record.say(format!("{tried} saves ran and came again: {refused} refused, {twice} run twice"));
    let broken = refused + twice > 0;
    record.say(if broken { "the rule was broken" } else { "the rule held" });
    std::process::exit(i32::from(broken));
}
