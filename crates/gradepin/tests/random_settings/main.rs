//! Randomly generated settings: start, requests, reload to other settings under load, and drain, through the reducer
//! alone and with the real program. All generated settings are valid, so each must be served with.

#[path = "../../../admission/tests/common/generated_settings.rs"]
mod generated_settings;
mod process;
mod simulation;

use generated_settings::{config, text};
use gradepin_core::config::Config;
use process::Process;
use proptest::prelude::*;
use proptest::test_runner::{Config as RunnerConfig, TestRunner};
use serde_json::Value;
use simulation::Simulation;

const ADDRESSES: [&str; 3] = ["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"];

/// Test runner with this many cases, or `CASES`, and the seed 1, or `SEED`.
fn test_runner(cases: u32) -> TestRunner {
    let cases = std::env::var("CASES").ok().and_then(|cases| cases.parse().ok()).unwrap_or(cases);
    let seed = std::env::var("SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(1_u64);
    println!("SEED={seed} CASES={cases}");
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let rng = proptest::test_runner::TestRng::from_seed(proptest::test_runner::RngAlgorithm::ChaCha, &bytes);
    let runner_config =
        RunnerConfig { cases, failure_persistence: None, max_shrink_iters: 400, ..RunnerConfig::default() };
    TestRunner::new_with_rng(runner_config, rng)
}

/// Guards against valid settings that the server refuses to start with.
#[test]
fn every_generated_configuration_is_accepted() {
    let strategy = (config(ADDRESSES), any::<bool>());
    let result = test_runner(1_000).run(&strategy, |(config, exponents)| {
        let parsed = Config::parse(&text(&config, exponents));
        prop_assert!(parsed.is_ok(), "{}", parsed.unwrap_err());
        Ok(())
    });
    if let Err(why) = result {
        panic!("{why}");
    }
}

/// Guards against settings with which the server panics, hangs, answers a request twice or never, or runs something
/// that no client sent: with these settings from the start, and after a reload to others while requests are open.
#[test]
fn every_request_gets_one_answer_through_reloads_and_drain() {
    let strategy = (proptest::collection::vec(config(ADDRESSES), 1..4), any::<u64>());
    let counts = std::cell::Cell::new([0, 0]);
    let result = test_runner(150).run(&strategy, |(configs, seed): (Vec<Value>, u64)| {
        let [begun, served] = Simulation::play(&configs, seed);
        counts.set([counts.get()[0] + begun, counts.get()[1] + served]);
        Ok(())
    });
    if let Err(why) = result {
        panic!("{why}");
    }
    // Guards against generated settings with which the server accepts hardly any request, so that the test would
    // check nothing.
    let [begun, served] = counts.get();
    println!("{begun} runs begun, {served} results served");
    assert!(begun > 500 && served > 300, "{begun} runs begun, {served} results served");
}

/// The same with the real program on sockets: it starts, serves, is notified of another configuration while requests
/// are in progress, serves with that one, and exits.
#[test]
fn every_generated_server_starts_serves_reloads_and_exits() {
    let strategy = (config(ADDRESSES), config(ADDRESSES), any::<bool>());
    let result = test_runner(4).run(&strategy, |(first, second, exponents)| {
        let mut process = Process::start("customers", &first, exponents);
        process.send_requests(&first);
        process.reload(&second, !exponents);
        process.send_requests(&first);
        process.wait_until_reloaded(1);
        process.send_requests(&second);
        // Reloads arrive faster than they complete: each file is read completely, and none while the previous one is
        // being applied.
        for n in 0..12 {
            process.reload(if n % 2 == 0 { &first } else { &second }, exponents);
            if n % 4 == 3 {
                process.send_requests(&first);
                process.send_requests(&second);
            }
        }
        process.terminate();
        Ok(())
    });
    if let Err(why) = result {
        panic!("{why}");
    }
}
