//! A second deployment: other classes, six cores, a long idempotency window, the window as the capacity hint,
//! and an upstream that all servers share, each with its own quota of calls.

mod scenario;
use scenario::play;
use scenario::virtual_stage::VirtualStage;
use serde_json::{Value, json};

const MS: u64 = 1_000_000;

fn contract_settings(config: &mut Value) {
    config["ledger"] = json!("127.0.0.1:4");
    let class = |name: &str, latency_objective: u64, deadline: u64, effect: &str, priority_weight: f64| {
        json!({"name": name, "promise": latency_objective * MS, "deadline": deadline * MS, "effect": effect, "worth": priority_weight,
               "late_value": 0.0, "window": 37_398 * MS})
    };
    let settings = &mut config["settings"];
    settings["profiles"] = json!([
        class("draft-preview", 2_500, 6_200, "repeatable", 1.0),
        class("clause-lookup", 1_200, 4_700, "repeatable", 1.0),
        class("issue-contract", 3_700, 12_000, "by_key", 3.0),
    ]);
    settings["callers"]["marks_retry"] = json!(false);
    settings["specifics"]["n_cores"] = json!(6);
    settings["specifics"]["below"] = json!("shared");
    settings["specifics"]["calls_out"] = json!(3.0);
    settings["specifics"]["calls_by_class"] = json!([true, false, true]);
    settings["specifics"]["class_skip_worth"] = json!([0.0, 0.0, 0.0]);
    settings["specifics"]["advert"] = json!("window");
    settings["specifics"]["stop_mode"] = json!("abort");
}

fn stage(greeting: &str) -> VirtualStage {
    let mut stage = VirtualStage::with(contract_settings);
    play(&mut stage, &format!("send processor {greeting}"));
    stage
}

/// Requests of a class, numbered from one and sent in one step.
fn burst(class: &str, count: usize) -> String {
    let line = |n| format!("send a + call {n} rid={n} method={class} token=t{n}\n");
    let mut text: String = (1..count).map(line).collect();
    text += &format!("send a call {count} rid={count} method={class} token=t{count}\n");
    text
}

#[test]
fn only_configured_classes_are_served_on_six_cores() {
    // Guards against a class list or core count that is fixed to one deployment.
    let mut stage = stage("hi WARM 0");
    let begins: String = (1..=6).map(|n| format!("expect processor begin {n} draft-preview\n")).collect();
    play(&mut stage, &format!("{}{begins}expect no processor begin", burst("draft-preview", 8)));
    play(
        &mut stage,
        "send b call 1 rid=90 method=label-save token=t
         expect b 1 invalid unknown method \"label-save\"",
    );
}

#[test]
fn a_retry_after_37_s_is_answered_from_the_first_run() {
    // Guards a window of 37 s, counted from the attempt that begun; an attempt after it may run.
    play(
        &mut stage("hi WARM 0"),
        "send a call 1 rid=1 method=issue-contract token=t body=lease
         expect processor begin 1 issue-contract lease
         send processor complete 1 1 OK numbered
         expect a 1 served numbered
         wait 37300
         send b call 1 rid=2 method=issue-contract token=t body=lease
         expect b 1 served numbered
         expect no processor begin
         wait 200
         send b call 2 rid=3 method=issue-contract token=t body=lease
         expect processor begin 3 issue-contract lease",
    );
}

#[test]
fn a_full_key_table_rejects_new_keys_and_answers_known_ones() {
    // Guards idempotency when the remembered keys fill the memory: a new key is rejected at once and never runs
    // unremembered, retries of known keys, frequent or rare, are answered from their runs, and space becomes free as
    // windows end.
    let mut stage = VirtualStage::with(|config| {
        contract_settings(config);
        // Capacity for about thirty keys beside one run.
        config["settings"]["specifics"]["kb_per_key"] = json!(100.0);
    });
    play(&mut stage, "send processor hi WARM 0");
    let (mut accepted, mut rejected, mut notice) = (Vec::new(), 0, 0);
    for n in 1..=60 {
        play(
            &mut stage,
            &format!("send a call {n} rid={n} method=issue-contract token=t{n} mem=10\nwait 20"),
        );
        let begun = scenario::Stage::take_event(&mut stage, &format!("processor begin {n}")).is_ok();
        if begun {
            notice += 1;
            play(
                &mut stage,
                &format!("send processor complete {notice} {n} OK out{n}\nexpect a {n} served out{n}"),
            );
            accepted.push(n);
        } else {
            play(&mut stage, &format!("expect a {n} refused"));
            rejected += 1;
        }
        // One key is retried in every round.
        play(
            &mut stage,
            &format!(
                "send b call {n} rid={} method=issue-contract token=t1 mem=10\nexpect b {n} served out1",
                1000 + n
            ),
        );
    }
    assert!(accepted.len() >= 10 && rejected >= 10, "{} accepted, {rejected} rejected", accepted.len());
    for n in &accepted {
        play(
            &mut stage,
            &format!(
                "send c call {n} rid={} method=issue-contract token=t{n} mem=10\nexpect c {n} served out{n}",
                2000 + n
            ),
        );
    }
    play(
        &mut stage,
        "expect no processor begin
         wait 38000
         send d call 1 rid=99 method=issue-contract token=new mem=10
         expect processor begin 99",
    );
}

#[test]
fn upstream_calls_of_a_burst_stay_within_the_quota() {
    // Guards the shared upstream: however many runs request calls at once, calls in flight never exceed this server's
    // quota, even on a cold server, which calls more often; the next call leaves as one returns.
    for greeting in ["hi WARM 0", "hi COLD 0"] {
        let mut stage = stage(greeting);
        play(&mut stage, &burst("issue-contract", 6));
        let begun: Vec<usize> = (1..=6)
            .filter(|n| scenario::Stage::take_event(&mut stage, &format!("processor begin {n}")).is_ok())
            .collect();
        assert!(!begun.is_empty(), "{greeting}: no run began");
        for (index, n) in begun.iter().enumerate() {
            play(&mut stage, &format!("send processor ask {} {n} entry", index + 1));
        }
        let (mut in_flight, mut max_in_flight, mut done) = (Vec::new(), 0, 0);
        for _ in 0..200 {
            while let Ok(call) = scenario::Stage::take_event(&mut stage, "ledger call") {
                in_flight.push(call.split(' ').nth(2).expect("an id").to_string());
            }
            max_in_flight = max_in_flight.max(in_flight.len());
            if let Some(id) = in_flight.pop() {
                done += 1;
                play(
                    &mut stage,
                    &format!("wait 20\nsend ledger {id} 200 recorded\nexpect processor answer {id} recorded"),
                );
            } else {
                play(&mut stage, "wait 20");
            }
        }
        assert!(
            (1..=3).contains(&max_in_flight),
            "{greeting}: {max_in_flight} calls in flight with a quota of 3"
        );
        assert_eq!(done, begun.len(), "{greeting}: not every run had its call");
    }
}

#[test]
fn a_cold_start_under_full_load_limits_its_runs_and_answers_every_request() {
    // Guards a cold server of another deployment: under a burst it runs no more than its cold capacity, and every
    // request is answered by its deadline.
    let mut stage = VirtualStage::with(|config| {
        contract_settings(config);
        config["settings"]["rules"]["tip_multiple"] = json!(1.5);
    });
    play(&mut stage, &format!("send processor hi COLD 0\n{}", burst("clause-lookup", 30)));
    let begun = (1..=30)
        .filter(|n| scenario::Stage::take_event(&mut stage, &format!("processor begin {n}")).is_ok())
        .count();
    // Six cores, cold_share 0.25: 6 * (1 + 0.5 * 0.25).
    assert!((1..=6).contains(&begun), "{begun} runs on a cold server");
    play(&mut stage, "wait 5000");
    let is_answered = |stage: &mut VirtualStage, n: usize| {
        ["served", "refused", "failed"]
            .iter()
            .any(|end| scenario::Stage::take_event(stage, &format!("a {n} {end}")).is_ok())
    };
    for n in 1..=30 {
        assert!(is_answered(&mut stage, n), "request {n} has no answer");
    }
}
