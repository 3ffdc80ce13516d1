//! Case 2: an upgrade while runs are long. The old process ends before it has answered what it has read.

#[path = "../standin/common.rs"]
mod common;

use common::*;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Settings of the deployment kasvio-tiles: its classes with their deadlines, 6 cores. The same form as on the wire's page.
const SETTINGS: &str = r#"{"callers":{"marks_retry":true},
"customers":[{"name":"etela-kasvio","portion":1.0,"quota_rps":1000.0}],"family":"server",
"goal":{"whole":0.4,"worst_class":0.2,"worst_tenant":0.1,"worst_window":0.3},"granularity":2000000,
"limits":{"cpu_us_per_request":0.0,"cpu_us_per_s":64255,"max_retry_after":1000000000,"retry_after":true},"me":1,
"over_share_worth":0.05,"prices":{"connection":0.0,"handshake":0.0,"late_fail":0.083,"origin":0.0,"waste":0.08},
"profiles":[
{"deadline":4000000000,"effect":"repeatable","late_value":0.0,"name":"sheet-view","promise":1600000000,"window":5000000000,"worth":1.0},
{"deadline":5800000000,"effect":"repeatable","late_value":0.0,"name":"deep-zoom","promise":2200000000,"window":5000000000,"worth":1.0},
{"deadline":4000000000,"effect":"by_key","late_value":0.2,"name":"label-save","promise":1600000000,"window":12075000000,"worth":4.0}],
"report":{"how":"inline","names":["latency_ms"]},
"rules":{"answer_slack":100000000,"cold":18000000000,"cold_share":0.21,"drain_grace":1800000000,"fall":1500000000,"tip_multiple":8.0},
"servers":1,
"specifics":{"advert":"threshold","below":"off","calls_by_class":[false,false,false],"calls_out":0.0,"class_skip_worth":[0.0,0.0,0.0],
"clients_total":3,"fresh_for":0,"full_checks":false,"gauges":["core_use","on_cores","heap_share","links"],"heeded":1000000000,
"idle":15000000000,"just_started":false,"kb_per_key":45.47,"linger":200000000,"list_follows":true,"memory_kb":16000.0,"n_cores":6,
"passes_deadline":true,"run_factor":8.0,"share_span":5000000000,"stop_mode":"off","tells_gone":true},
"stages":["tile-servers"],"tier":0,"worth_by":"request","zone":"lahti-1","zones":["lahti-1"]}"#;
/// The longest deadline (3 s at most) and 0.7 s.
const STOP_MS: u64 = 3700;
/// `rules.answer_slack` and 50 ms.
const SLACK_MS: u64 = 150;

fn main() {
    let folder =
        |n| PathBuf::from(std::env::args().nth(n).unwrap_or_else(|| cannot_run("two folders are needed")));
    let (case, tmp) = (folder(1), folder(2));
    let (root, record) = (root(&case), Record::create(&case));
    record.line(format!("trouble: {}", trouble()));
    let machine = Machine::start(6.0, 16000.0, 8.0, 1500);
    // A slow server: 300 ms and 490 ms of work, 8.4 times slower; saves are short, as they wait for nothing.
    let work: Work = Arc::new(|class, _| match class {
        "deep-zoom" => Job { cpu_ms: 490.0 * 8.4, ..Job::default() },
        _ => Job { cpu_ms: 300.0, ..Job::default() },
    });
    let control = control_plane(&record);
    let (listener, listen) = listen();
    let shared = tmp.join("shared");
    std::fs::create_dir_all(&shared).expect("a folder");
    let start = |name: &str| {
        let processor = Processor::start(name, &machine, Arc::clone(&work), &record);
        let admin = free_address();
        let config = tmp.join(format!("{name}.json"));
        let settings = SETTINGS.to_string();
        Config {
            listen,
            processor: processor.address,
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
        server
    };
    let mut old = start("old");

    let answers: Arc<Mutex<BTreeMap<String, (Answer, u64)>>> = Arc::default();
    let answered = Arc::clone(&answers);
    let on_answer: OnAnswer = Arc::new(move |request, answer, took| {
        answered.lock().unwrap().insert(request.rid.clone(), (answer, took));
    });
    let mut sent: BTreeMap<String, u64> = BTreeMap::new();
    let mut send = |connection: &Connection, class: &'static str, budget_ms: u64| {
        let rid = format!("{:016x}", 0x1000 + sent.len());
        let token = (class == "label-save").then(|| format!("token{rid}"));
        let body = rid.clone().into_bytes();
        let request = Request {
            rid: rid.clone(),
            class,
            tenant: "etela-kasvio",
            budget_ms,
            kb: 24.0,
            token,
            again: false,
            body,
        };
        if !connection.send(&request) {
            cannot_run("a request could not be sent");
        }
        sent.insert(rid, budget_ms);
    };
    let connect = |name: &str| {
        Connection::open(name, listen, &machine, &record, Arc::clone(&on_answer))
            .unwrap_or_else(|e| cannot_run(&e.to_string()))
    };
    let (proxy1, proxy2) = (connect("proxy1"), connect("proxy2"));
    // Some calm traffic, then two long requests from each client proxy.
    for _ in 0..10 {
        send(&proxy1, "sheet-view", 4000);
        send(&proxy2, "label-save", 4000);
        sleep_ms(150);
    }
    for proxy in [&proxy1, &proxy2] {
        send(proxy, "deep-zoom", 5800);
        send(proxy, "deep-zoom", 5800);
    }
    sleep_ms(200);
    let mut new = None;
    if trouble() {
        new = Some(start("new"));
        // The new process said yes: the old one gets SIGTERM, and SIGKILL after `stop_ms`.
        old.signal(SIGTERM);
        old.wait_until(Instant::now() + Duration::from_millis(STOP_MS));
    }
    let end = Instant::now() + Duration::from_millis(6000);
    while Instant::now() < end && answers.lock().unwrap().len() < sent.len() {
        sleep_ms(10);
    }
    let ended_early = new.as_mut().is_some_and(|new| new.ended().is_some());
    drop((old, new));

    let answers = answers.lock().unwrap();
    let mut lost = 0;
    for (rid, budget_ms) in &sent {
        let verdict = match answers.get(rid) {
            None => Some("no answer".to_string()),
            Some((Answer::Lost, took)) => Some(format!("connection ended with no answer after {took} ms")),
            Some((_, took)) if *took > budget_ms + SLACK_MS => {
                Some(format!("answered late, after {took} ms"))
            }
            Some(_) => None,
        };
        if let Some(verdict) = verdict {
            lost += 1;
            record.say(format!("{rid} is lost: {verdict}; its caller waits {budget_ms} ms"));
        }
    }
    record.say(format!(
        "{} requests sent, {lost} lost, {:.1} in 1,000",
        sent.len(),
        lost as f64 * 1000.0 / sent.len() as f64
    ));
    if ended_early {
        cannot_run("the new process ended");
    }
    // Up to 3 in 1,000 may go without a final answer.
    let broken = lost as f64 > 0.003 * sent.len() as f64;
    record.say(if broken { "the rule was broken" } else { "the rule held" });
    std::process::exit(i32::from(broken));
}
