//! Drawn settings of other customers, through the reducer alone: start, serve, reload to another customer's under load,
//! and drain. What is drawn is valid, so each is served with.

#[path = "../../../admission/tests/common/generated_settings.rs"]
mod generated_settings;
mod process;
mod world;

use generated_settings::{config, text};
use gradepin_core::config::Config;
use process::Process;
use proptest::prelude::*;
use proptest::test_runner::{Config as Runs, TestRunner};
use serde_json::Value;
use world::World;

const ADDRESSES: [&str; 3] = ["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"];

/// How many cases a test plays: so many, or `CASES`.
fn runs(cases: u32) -> TestRunner {
    let cases = std::env::var("CASES").ok().and_then(|cases| cases.parse().ok()).unwrap_or(cases);
    let seed = std::env::var("SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(1_u64);
    println!("SEED={seed} CASES={cases}");
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let rng = proptest::test_runner::TestRng::from_seed(proptest::test_runner::RngAlgorithm::ChaCha, &bytes);
    let runs = Runs { cases, failure_persistence: None, max_shrink_iters: 400, ..Runs::default() };
    TestRunner::new_with_rng(runs, rng)
}

/// Guards against a customer whose server doesn't start.
#[test]
fn every_customers_configuration_is_taken() {
    let drawn = (config(ADDRESSES), any::<bool>());
    let taken = runs(1_000).run(&drawn, |(config, exponents)| {
        let parsed = Config::parse(&text(&config, exponents));
        prop_assert!(parsed.is_ok(), "{}", parsed.unwrap_err());
        Ok(())
    });
    if let Err(why) = taken {
        panic!("{why}");
    }
}

/// Guards against a customer whose server ends, hangs, answers twice or never, or runs what nobody sent: with its settings
/// from the start, and with those of another put in force while requests are open.
#[test]
fn every_customers_requests_get_one_answer_through_reloads_and_drain() {
    let drawn = (proptest::collection::vec(config(ADDRESSES), 1..4), any::<u64>());
    let counts = std::cell::Cell::new([0, 0]);
    let played = runs(150).run(&drawn, |(configs, seed): (Vec<Value>, u64)| {
        let [begun, served] = World::play(&configs, seed);
        counts.set([counts.get()[0] + begun, counts.get()[1] + served]);
        Ok(())
    });
    if let Err(why) = played {
        panic!("{why}");
    }
    // Guards against settings of which hardly any server takes anything: nothing would be looked at.
    let [begun, served] = counts.get();
    println!("{begun} runs begun, {served} results served");
    assert!(begun > 500 && served > 300, "{begun} runs begun, {served} results served");
}

/// The same with the program itself, between sockets: it starts, serves, is told of another customer's file while requests
/// are under way, serves that, and leaves.
#[test]
fn every_customers_server_starts_serves_reloads_and_leaves() {
    let drawn = (config(ADDRESSES), config(ADDRESSES), any::<bool>());
    let played = runs(4).run(&drawn, |(first, second, exponents)| {
        let mut process = Process::start("customers", &first, exponents);
        process.requests(&first);
        process.reload(&second, !exponents);
        process.requests(&first);
        process.reloaded(1);
        process.requests(&second);
        // Faster than files are in force: each is read whole, and none while the one before is being applied.
        for n in 0..12 {
            process.reload(if n % 2 == 0 { &first } else { &second }, exponents);
            if n % 4 == 3 {
                process.requests(&first);
                process.requests(&second);
            }
        }
        process.leave();
        Ok(())
    });
    if let Err(why) = played {
        panic!("{why}");
    }
}
