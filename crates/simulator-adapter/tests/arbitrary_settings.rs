//! Property test of the adapter process with arbitrary valid settings: each instance starts with them, and its actions
//! are valid in the simulator's protocol.

#[path = "../../admission/tests/common/generated_settings.rs"]
mod generated_settings;

use generated_settings::{MS, settings, text};
use proptest::prelude::*;
use proptest::test_runner::{Config as Runs, RngAlgorithm, TestRng, TestRunner};
use serde_json::Value;
use std::collections::HashMap;
use std::io::Write;
use std::process::{Command, Stdio};

/// Runs the adapter on the input; returns its exit status, standard output and standard error.
fn run_adapter(input: &str) -> (Option<i32>, String, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_gradepin-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut stdin = child.stdin.take().expect("piped");
    let input = input.to_string();
    let writer = std::thread::spawn(move || stdin.write_all(input.as_bytes()));
    let out = child.wait_with_output().expect("the adapter ends");
    let _ = writer.join().expect("written");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("UTF-8");
    (out.status.code(), text(out.stdout), text(out.stderr))
}

/// Ten batches, 300 ms apart, with requests of the first classes and tenants. Optional values are absent in some.
fn batches(settings: &Value, exponents: bool) -> String {
    let mut input = format!("sync 7\nstart worker/0 -9 {}\ngo\n", text(settings, exponents));
    let list = |key: &str| settings[key].as_array().cloned().unwrap_or_default();
    let (classes, tenants) = (list("profiles"), list("customers"));
    for batch in 1..=10_u64 {
        input.push_str(&format!(
            "sync {}\ndeadline_hit worker/0 t core_use:0.5,warp:1,on_cores:1e3\n",
            batch * 300 * MS
        ));
        for n in 0..6 {
            let class = classes[n % classes.len()]["name"].as_str().expect("a name");
            let tenant = tenants.get(n).and_then(|tenant| tenant["name"].as_str()).unwrap_or("-");
            let wait = [0, 1, 900 * MS, 60_000 * MS][n % 4];
            let work = ["-", "0", "12000000", "18446744073709551615"][n % 4];
            let earlier = if n > 4 { format!("t/{batch}-{}", n - 5) } else { "0".to_string() };
            input.push_str(&format!(
                "req worker/0 t/{batch}-{n} {wait} {class} - 3 {work} {tenant} 24.5 0.625 3 {earlier} 1850000\n"
            ));
        }
        input.push_str("go\n");
    }
    input
}

/// Guards against an instance that exits or writes an invalid line. Either reduces the score of a whole simulation to 0.
#[test]
fn adapter_serves_with_arbitrary_valid_settings() {
    let cases = std::env::var("CASES").ok().and_then(|cases| cases.parse().ok()).unwrap_or(60);
    let seed = std::env::var("SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(1_u64);
    println!("SEED={seed} CASES={cases}");
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let runs = Runs { cases, failure_persistence: None, max_shrink_iters: 200, ..Runs::default() };
    let mut runner = TestRunner::new_with_rng(runs, TestRng::from_seed(RngAlgorithm::ChaCha, &bytes));
    let result = runner.run(&(settings(), any::<bool>()), |(settings, exponents)| {
        let (code, out, err) = run_adapter(&batches(&settings, exponents));
        prop_assert_eq!((code, err.as_str()), (Some(0), ""));
        prop_assert_eq!(out.matches("end\n").count(), 11);
        let mut final_responses = HashMap::new();
        for line in out.lines() {
            let words: Vec<&str> = line.split(' ').collect();
            match words[..] {
                ["refuse" | "error", _, id, ..] => *final_responses.entry(id.to_string()).or_insert(0) += 1,
                ["signal", _, amount] => {
                    let amount: f64 = amount.parse().expect("a number");
                    prop_assert!(amount.is_finite() && amount >= 0.0, "{}", line);
                }
                ["idle_limit", _, time] => {
                    let time: u64 = time.parse().expect("a time");
                    prop_assert!(time == 0 || time >= 10 * MS, "{}", line);
                }
                ["suspend", ..] => prop_assert!(settings["specifics"]["stop_mode"] != "off", "{}", line),
                _ => {}
            }
        }
        prop_assert!(final_responses.values().all(|count| *count == 1), "{:?}", final_responses);
        Ok(())
    });
    if let Err(why) = result {
        panic!("{why}");
    }
}
