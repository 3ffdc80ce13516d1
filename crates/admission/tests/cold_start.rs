//! The course of a cold start under load, in virtual time: reading costs the cores work before the module hears of a
//! request, callers give up unread, and what they heard of the server holds for a second. No server is started.

mod common;
use common::*;
use gradepin_admission::{Action, Controller, Event, Gauges, Outcome, Request, Settings, Span, Time};
use serde_json::json;
use std::collections::{BTreeMap, VecDeque};

const TICK_MS: u64 = 2;
const CORES: usize = 12;
const RUN_MS: f64 = 60.0; // work of a run on a core of speed 1
const READ_MS: f64 = 15.0; // and of reading a request
const WAIT_MS: u64 = 1340; // a caller's patience
const LIST_MS: u64 = 1200; // how late callers learn of health
const HEARD_MS: u64 = 1000; // how long callers go by the level last heard
const CALLERS: u64 = 8; // each knows only what it heard itself
const DEAF: u64 = 3; // callers that heed nothing
const EVERY_MS: f64 = 2.2; // a request comes every so often: callers favour who has told them nothing yet
const LEAST_SPEED: f64 = 0.13; // a slow machine's 0.6 at 21%
const FULL_SPEED: f64 = 0.6;

fn cold() -> Settings {
    let mut value = base();
    value["profiles"] = json!([{"name": "read", "promise": 400 * MS, "deadline": WAIT_MS * MS,
        "effect": "repeatable", "late_value": 0.0, "worth": 1.0}]);
    value["rules"] = json!({"answer_slack": 100 * MS, "cold": 18_000 * MS, "cold_share": 0.21,
        "drain_grace": 1800 * MS, "fall": 1500 * MS, "tip_multiple": 8.0});
    value["specifics"] = json!({"n_cores": CORES, "memory_kb": 160_000.0, "run_factor": 8.0, "advert": "threshold",
        "below": "off", "clients_total": 8, "passes_deadline": true, "just_started": true, "list_follows": true,
        "tells_gone": true, "idle": 8000 * MS, "heeded": HEARD_MS * MS});
    settings(value)
}

/// What became of the requests of a course, each counted once.
#[derive(Debug, Default)]
struct Fates {
    offered: u64,
    elsewhere: u64,
    served: u64,
    timed_out: u64,
}

/// Fifteen seconds of a server that starts cold, some of whose callers heed its level.
fn course() -> Fates {
    let mut module = Controller::new(cold(), 11, Time(0));
    let mut fates = Fates::default();
    let (mut unread, mut reading) = (VecDeque::new(), Vec::<(f64, u64)>::new());
    let mut running = BTreeMap::<u64, (f64, u64)>::new();
    let mut sent = BTreeMap::<u64, u64>::new(); // still waited for, by when they were sent
    let mut health = VecDeque::from([(0, true)]);
    let mut level = 0.0;
    let mut heard = [(0, 0.0); CALLERS as usize]; // when, and what level
    let (mut speed, mut busy, mut next, mut timer) = (LEAST_SPEED, 0.0, 0.0, 0);
    for now in (0..15_000_u64).step_by(TICK_MS as usize) {
        let mut events = Vec::new();
        // Callers: who gave up, and who sends.
        sent.retain(|&n, &mut at| {
            let waits = now < at + WAIT_MS;
            if !waits {
                fates.timed_out += 1;
                events.push(Event::CallerGone(id(&n.to_string())));
            }
            waits
        });
        while next <= now as f64 {
            next += EVERY_MS;
            let n = fates.offered;
            fates.offered += 1;
            let listed =
                health.iter().rev().find(|&&(at, _)| at + LIST_MS <= now || at == 0).is_none_or(|h| h.1);
            let rank = (n as f64 * 0.618_034).fract();
            let (when, told) = heard[(n % CALLERS) as usize];
            let away = n % CALLERS >= DEAF && now < when + HEARD_MS && rank < told;
            if !listed || away {
                fates.elsewhere += 1;
            } else {
                unread.push_back(n);
                sent.insert(n, now);
            }
        }
        // The cores: readings, one a core, and runs share them; past a crowd they get less done.
        while reading.len() < CORES && !unread.is_empty() {
            reading.extend(unread.pop_front().map(|n| (READ_MS, n)));
        }
        let on = reading.len() + running.len();
        let crowd = if on as f64 > 1.35 * CORES as f64 { 0.7 } else { 1.0 };
        let each = TICK_MS as f64 * speed * crowd * (CORES as f64 / on.max(1) as f64).min(1.0);
        busy += 0.01 * ((on as f64 / CORES as f64).min(1.0) - busy);
        speed = (speed + TICK_MS as f64 * (FULL_SPEED - LEAST_SPEED) / 18_000.0).min(FULL_SPEED);
        reading.retain_mut(|(work, n)| {
            *work -= each;
            // What nobody waits for any more took its reading all the same, and is not told.
            if let Some(&at) = sent.get(n).filter(|_| *work <= 0.0) {
                let request = Request {
                    expires_in: Some(Span((at + WAIT_MS - now) * MS)),
                    unread_for: Span((now - at) * MS),
                    ..read(&n.to_string())
                };
                events.push(Event::Arrived(request));
            }
            *work > 0.0
        });
        running.retain(|n, (work, since)| {
            *work -= each;
            if *work <= 0.0 {
                let took = Span((now - *since) * MS);
                events.push(Event::Completed { id: id(&n.to_string()), outcome: Outcome::Success, took });
                if sent.remove(n).is_some() {
                    fates.served += 1;
                    heard[(n % CALLERS) as usize] = (now, level);
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
        for action in at(&mut module, now, events) {
            match action {
                Action::Run(id) => {
                    running.insert(id.0.parse().expect("a number"), (RUN_MS, now));
                }
                Action::Reject { id, .. } => {
                    let n: u64 = id.0.parse().expect("a number");
                    fates.elsewhere += sent.remove(&n).map_or(0, |_| 1);
                    heard[(n % CALLERS) as usize] = (now, level);
                }
                Action::ReportHealth { active, .. } => health.push_back((now, active)),
                Action::AdvertiseCapacity(value) => level = value,
                Action::SetTimer(when) => timer = when.0 / MS,
                _ => {}
            }
        }
    }
    assert_eq!(fates.offered, fates.elsewhere + fates.served + fates.timed_out + sent.len() as u64);
    fates
}

#[test]
fn a_cold_server_swamped_by_reading_sends_its_callers_elsewhere() {
    // Guards against incident r3e27a7: a cold server read on all cores for 8 s, callers had given up on all that it
    // read, no answer brought them its level, and a free place among the runs was taken for progress, so its health
    // stayed good. Three quarters timed out in this course then.
    let fates = course();
    println!("{fates:?}");
    assert!(fates.timed_out * 8 < fates.offered, "{fates:?}");
    assert!(fates.served > 100, "it must serve too, not only send away: {fates:?}");
}
