//! Simulation of a cold start under load, in virtual time. Reading takes core time before the controller learns of a
//! request, callers give up on unread requests, and callers use an advertised value for one second.

mod common;
use common::*;
use gradepin_admission::{Action, Controller, Event, Gauges, Outcome, Request, Settings, Span, Time};
use serde_json::json;
use std::collections::{BTreeMap, VecDeque};

const TICK_MS: u64 = 2;
const CORES: usize = 12;
const RUN_MS: f64 = 60.0; // core time of a run at speed 1
const READ_MS: f64 = 15.0; // core time to read a request at speed 1
const TIMEOUT_MS: u64 = 1340; // time that a caller waits for a response
const HEALTH_DELAY_MS: u64 = 1200; // delay after which callers learn of a change of health
const SIGNAL_LIFETIME_MS: u64 = 1000; // time for which callers use an advertised threshold
const CALLERS: u64 = 8; // each caller knows only the threshold that it received itself
const UNHEEDING_CALLERS: u64 = 3; // callers that ignore the threshold
const INTERVAL_MS: f64 = 2.2; // interval of requests; callers prefer servers that have advertised nothing yet
const COLD_SPEED: f64 = 0.13; // 21% of FULL_SPEED
const FULL_SPEED: f64 = 0.6;

fn cold() -> Settings {
    let mut value = base();
    value["profiles"] = json!([{"name": "read", "promise": 400 * MS, "deadline": TIMEOUT_MS * MS,
        "effect": "repeatable", "late_value": 0.0, "worth": 1.0}]);
    value["rules"] = json!({"answer_slack": 100 * MS, "cold": 18_000 * MS, "cold_share": 0.21,
        "drain_grace": 1800 * MS, "fall": 1500 * MS, "tip_multiple": 8.0});
    value["specifics"] = json!({"n_cores": CORES, "memory_kb": 160_000.0, "run_factor": 8.0, "advert": "threshold",
        "below": "off", "clients_total": 8, "passes_deadline": true, "just_started": true, "list_follows": true,
        "tells_gone": true, "idle": 8000 * MS, "heeded": SIGNAL_LIFETIME_MS * MS});
    settings(value)
}

/// Outcomes of the requests of a simulation; each request counts once.
#[derive(Debug, Default)]
struct Outcomes {
    offered: u64,
    diverted: u64,
    served: u64,
    timed_out: u64,
}

/// Simulates the first fifteen seconds of a cold server, some of whose callers follow its threshold.
fn simulate() -> Outcomes {
    let mut controller = Controller::new(cold(), 11, Time(0));
    let mut outcomes = Outcomes::default();
    let (mut unread, mut reading) = (VecDeque::new(), Vec::<(f64, u64)>::new());
    let mut running = BTreeMap::<u64, (f64, u64)>::new();
    let mut sent = BTreeMap::<u64, u64>::new(); // send times of requests that still wait for a response
    let mut health = VecDeque::from([(0, true)]);
    let mut level = 0.0;
    let mut last_threshold = [(0, 0.0); CALLERS as usize]; // time and value of the last threshold of each caller
    let (mut speed, mut busy, mut next, mut timer) = (COLD_SPEED, 0.0, 0.0, 0);
    for now in (0..15_000_u64).step_by(TICK_MS as usize) {
        let mut events = Vec::new();
        // Callers give up, and send new requests.
        sent.retain(|&n, &mut at| {
            let waits = now < at + TIMEOUT_MS;
            if !waits {
                outcomes.timed_out += 1;
                events.push(Event::CallerGone(id(&n.to_string())));
            }
            waits
        });
        while next <= now as f64 {
            next += INTERVAL_MS;
            let n = outcomes.offered;
            outcomes.offered += 1;
            let is_listed = health
                .iter()
                .rev()
                .find(|&&(at, _)| at + HEALTH_DELAY_MS <= now || at == 0)
                .is_none_or(|h| h.1);
            let rank = (n as f64 * 0.618_034).fract();
            let (when, threshold) = last_threshold[(n % CALLERS) as usize];
            let is_diverted =
                n % CALLERS >= UNHEEDING_CALLERS && now < when + SIGNAL_LIFETIME_MS && rank < threshold;
            if !is_listed || is_diverted {
                outcomes.diverted += 1;
            } else {
                unread.push_back(n);
                sent.insert(n, now);
            }
        }
        // Readings, at most one per core, and runs share the cores. Too many of them reduce the throughput.
        while reading.len() < CORES && !unread.is_empty() {
            reading.extend(unread.pop_front().map(|n| (READ_MS, n)));
        }
        let on = reading.len() + running.len();
        let efficiency = if on as f64 > 1.35 * CORES as f64 { 0.7 } else { 1.0 };
        let work_per_task = TICK_MS as f64 * speed * efficiency * (CORES as f64 / on.max(1) as f64).min(1.0);
        busy += 0.01 * ((on as f64 / CORES as f64).min(1.0) - busy);
        speed = (speed + TICK_MS as f64 * (FULL_SPEED - COLD_SPEED) / 18_000.0).min(FULL_SPEED);
        reading.retain_mut(|(work, n)| {
            *work -= work_per_task;
            // A request whose caller has given up was read as well, but is not reported.
            if let Some(&at) = sent.get(n).filter(|_| *work <= 0.0) {
                let request = Request {
                    expires_in: Some(Span((at + TIMEOUT_MS - now) * MS)),
                    unread_for: Span((now - at) * MS),
                    ..read(&n.to_string())
                };
                events.push(Event::Arrived(request));
            }
            *work > 0.0
        });
        running.retain(|n, (work, since)| {
            *work -= work_per_task;
            if *work <= 0.0 {
                let took = Span((now - *since) * MS);
                events.push(Event::Completed { id: id(&n.to_string()), outcome: Outcome::Success, took });
                if sent.remove(n).is_some() {
                    outcomes.served += 1;
                    last_threshold[(n % CALLERS) as usize] = (now, level);
                }
            }
            *work > 0.0
        });
        if now >= timer {
            let gauges = Gauges {
                cpu_utilization: Some(busy),
                runnable: Some(on as f64),
                memory_utilization: Some(0.1),
                links: Some(9.0),
            };
            events.push(Event::Timer(gauges));
        }
        for action in at(&mut controller, now, events) {
            match action {
                Action::Run(id) => {
                    running.insert(id.0.parse().expect("a number"), (RUN_MS, now));
                }
                Action::Reject { id, .. } => {
                    let n: u64 = id.0.parse().expect("a number");
                    outcomes.diverted += sent.remove(&n).map_or(0, |_| 1);
                    last_threshold[(n % CALLERS) as usize] = (now, level);
                }
                Action::ReportHealth { active, .. } => health.push_back((now, active)),
                Action::AdvertiseCapacity(value) => level = value,
                Action::SetTimer(when) => timer = when.0 / MS,
                _ => {}
            }
        }
    }
    assert_eq!(
        outcomes.offered,
        outcomes.diverted + outcomes.served + outcomes.timed_out + sent.len() as u64
    );
    outcomes
}

#[test]
fn cold_server_overloaded_by_reading_diverts_its_callers() {
    // Guards against incident r3e27a7: all cores of a cold server read requests for 8 s whose callers had given up,
    // so no response carried its threshold. Free capacity for runs counted as progress, so health stayed good. In
    // this simulation, three quarters of the requests timed out.
    let outcomes = simulate();
    println!("{outcomes:?}");
    assert!(outcomes.timed_out * 8 < outcomes.offered, "{outcomes:?}");
    assert!(outcomes.served > 100, "the server must also serve requests: {outcomes:?}");
}
