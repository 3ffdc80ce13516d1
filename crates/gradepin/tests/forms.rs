//! Another deployment: other classes, six cores, a long window, a window told to callers, and a register that all
//! servers share and of which each is told its share.

mod scenario;
use scenario::play;
use scenario::virtually::Virtually;
use serde_json::{Value, json};

const MS: u64 = 1_000_000;

fn forms(config: &mut Value) {
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

fn stage(greeting: &str) -> Virtually {
    let mut stage = Virtually::with(forms);
    play(&mut stage, &format!("send processor {greeting}"));
    stage
}

/// Requests of a class, numbered from one, sent in one step.
fn burst(class: &str, count: usize) -> String {
    let line = |n| format!("send a + call {n} rid={n} method={class} token=t{n}\n");
    let mut text: String = (1..count).map(line).collect();
    text += &format!("send a call {count} rid={count} method={class} token=t{count}\n");
    text
}

#[test]
fn its_classes_are_served_by_six_cores_and_no_other_class_is() {
    // Guards against a list of classes or a count of cores that only one deployment has.
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
fn a_key_that_comes_again_after_37_s_is_answered_from_its_first_run() {
    // Guards a window three times as long as the first deployment's, counted from the try that ran; a try after it
    // may run.
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
fn a_store_full_of_keys_refuses_new_ones_and_answers_the_old() {
    // Guards the rule on runs with effects where remembering is what fills the memory: a new key finds no room and is
    // refused at once, never run unremembered; the popular and the rare of before are answered from their runs; and
    // as their windows end there is room again.
    let mut stage = Virtually::with(|config| {
        forms(config);
        // Room for some thirty keys beside one run.
        config["settings"]["specifics"]["kb_per_key"] = json!(100.0);
    });
    play(&mut stage, "send processor hi WARM 0");
    let (mut kept, mut refused, mut notice) = (Vec::new(), 0, 0);
    for n in 1..=60 {
        play(
            &mut stage,
            &format!("send a call {n} rid={n} method=issue-contract token=t{n} mem=10\nwait 20"),
        );
        let begun = scenario::Stage::take(&mut stage, &format!("processor begin {n}")).is_ok();
        if begun {
            notice += 1;
            play(
                &mut stage,
                &format!("send processor complete {notice} {n} OK out{n}\nexpect a {n} served out{n}"),
            );
            kept.push(n);
        } else {
            play(&mut stage, &format!("expect a {n} refused"));
            refused += 1;
        }
        // One of them is asked for again and again.
        play(
            &mut stage,
            &format!(
                "send b call {n} rid={} method=issue-contract token=t1 mem=10\nexpect b {n} served out1",
                1000 + n
            ),
        );
    }
    assert!(kept.len() >= 10 && refused >= 10, "{} kept, {refused} refused", kept.len());
    for n in &kept {
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
fn a_burst_keeps_its_calls_within_the_told_share() {
    // Guards the shared register: however many runs ask at once, no more calls are out than this server's share, on a
    // cold server too, which calls more often; the next leaves as one comes back.
    for greeting in ["hi WARM 0", "hi COLD 0"] {
        let mut stage = stage(greeting);
        play(&mut stage, &burst("issue-contract", 6));
        let ran: Vec<usize> = (1..=6)
            .filter(|n| scenario::Stage::take(&mut stage, &format!("processor begin {n}")).is_ok())
            .collect();
        assert!(!ran.is_empty(), "{greeting}: nothing runs");
        for (place, n) in ran.iter().enumerate() {
            play(&mut stage, &format!("send processor ask {} {n} entry", place + 1));
        }
        let (mut out, mut most, mut done) = (Vec::new(), 0, 0);
        for _ in 0..200 {
            while let Ok(call) = scenario::Stage::take(&mut stage, "ledger call") {
                out.push(call.split(' ').nth(2).expect("an id").to_string());
            }
            most = most.max(out.len());
            if let Some(id) = out.pop() {
                done += 1;
                play(
                    &mut stage,
                    &format!("wait 20\nsend ledger {id} 200 recorded\nexpect processor answer {id} recorded"),
                );
            } else {
                play(&mut stage, "wait 20");
            }
        }
        assert!((1..=3).contains(&most), "{greeting}: {most} calls were out of a share of 3");
        assert_eq!(done, ran.len(), "{greeting}: every run had its call");
    }
}

#[test]
fn a_cold_start_under_full_load_runs_what_it_survives_and_answers_all() {
    // Guards a cold server of another kind: with many at once it runs no more than the crowd it survives cold, and
    // everything it read has its answer by its time.
    let mut stage = Virtually::with(|config| {
        forms(config);
        config["settings"]["rules"]["tip_multiple"] = json!(1.5);
    });
    play(&mut stage, &format!("send processor hi COLD 0\n{}", burst("clause-lookup", 30)));
    let begun = (1..=30)
        .filter(|n| scenario::Stage::take(&mut stage, &format!("processor begin {n}")).is_ok())
        .count();
    // Six cores, cold_share 0.25: 6 * (1 + 0.5 * 0.25).
    assert!((1..=6).contains(&begun), "{begun} runs on a cold server");
    play(&mut stage, "wait 5000");
    let ends = |stage: &mut Virtually, n: usize| {
        ["served", "refused", "failed"]
            .iter()
            .any(|end| scenario::Stage::take(stage, &format!("a {n} {end}")).is_ok())
    };
    for n in 1..=30 {
        assert!(ends(&mut stage, n), "{n} has no answer");
    }
}
