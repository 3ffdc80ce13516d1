//! Creates a reducer with the settings of the admission module's tests and without upstream calls, and steps it in
//! virtual time.

// Each test that includes this module uses a part of it.
#![allow(dead_code)]

#[path = "../../../admission/tests/common/mod.rs"]
mod common;

use gradepin_admission::{RequestId, Time};
use gradepin_core::buffer_pool::BufferPool;
use gradepin_core::config::Config;
use gradepin_core::messages::{ClientRequest, Effect, Input, Receipt};
use gradepin_core::reducer::Reducer;
use gradepin_core::registration::Registration;
use gradepin_core::timestamp::Timestamp;
use serde_json::{Value, json};
use std::sync::Arc;

/// Nanoseconds in a millisecond.
pub const MS: u64 = 1_000_000;

/// Returns settings without upstream calls.
pub fn settings() -> Value {
    let mut settings = common::base();
    settings["specifics"]["below"] = json!("off");
    settings
}

/// Returns a server with 128 descriptors whose processor has not greeted yet.
pub fn reducer() -> Reducer {
    reducer_with(settings())
}

/// Returns a server with these settings.
pub fn reducer_with(settings: Value) -> Reducer {
    let address = "127.0.0.1:1";
    let config = json!({"name": "n1", "listen": address, "processor": address, "control": address, "seed": "7",
        "stop_ms": 2000, "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 128}, "settings": settings});
    let config = Config::parse(&config.to_string()).expect("a valid configuration");
    let settings = Arc::new(config.settings.clone());
    Reducer::new(&config, settings, Registration::default()).expect("a valid seed")
}

/// Takes one step with both clocks at this time, in milliseconds.
pub fn step(reducer: &mut Reducer, ms: u64, inputs: Vec<Input>) -> Vec<Effect> {
    let mut effects = Vec::new();
    reducer.step(Timestamp { now: Time(ms * MS), unix_ms: ms }, inputs, &mut effects);
    effects
}

/// Returns a read without an idempotency key, sent at this time with a budget of 3 s. Tests change what they need.
pub fn read(id: u64, ms: u64) -> ClientRequest {
    ClientRequest {
        id: RequestId::new(&format!("{id:016x}")),
        class: 0.into(),
        tenant: None,
        client_proxy: 1,
        arrived_unix_ms: ms,
        budget_ms: 3_000,
        retry: false,
        size_kb: 1.0,
        precedence: 0.5,
        idempotency_key: None,
        has_subject: false,
        receipt: Receipt::default(),
        body: BufferPool::new(0).exact(b"body").expect("fits"),
    }
}
