//! Measures how long a change of classes or tenants blocks the reducer at the target size. No duration makes it fail.

#[path = "../../admission/tests/common/mod.rs"]
mod common;

use gradepin_admission::{ClassDefinition, Span, Tenant, Time};
use gradepin_config::change::{Change, Transaction};
use gradepin_core::config::Config;
use gradepin_core::messages::{Effect, Input};
use gradepin_core::reducer::Reducer;
use gradepin_core::registration::Registration;
use gradepin_core::reload::Reload;
use gradepin_core::timestamp::Timestamp;
use serde_json::json;
use std::sync::Arc;
use std::time::{Duration, Instant};

const MS: u64 = 1_000_000;

fn class(n: usize, priority_weight: f64) -> Arc<ClassDefinition> {
    let profile = json!({"name": format!("class-{n}"), "promise": 1000 * MS, "deadline": 4000 * MS,
        "effect": "repeatable", "worth": priority_weight});
    let profile = serde_json::from_value(profile).expect("a class");
    Arc::new(ClassDefinition { profile, calls: true, skip_weight: 0.0 })
}

fn tenant(n: usize, quota_rps: f64) -> Arc<Tenant> {
    Arc::new(Tenant { name: format!("tenant-{n}"), quota_rps, portion: 0.0 })
}

fn step(reducer: &mut Reducer, ms: u64, inputs: Vec<Input>) -> (Duration, Vec<Effect>) {
    let mut effects = Vec::new();
    let started = Instant::now();
    reducer.step(Timestamp { now: Time(ms * MS), unix_ms: ms }, inputs, &mut effects);
    (started.elapsed(), effects)
}

/// Prints how long the reducer is blocked by one change, by a batch of 100 and by a file that replaces all tenants.
#[test]
#[ignore = "a measurement"]
fn measures_how_long_changes_block_the_reducer() {
    for (classes, tenants) in [(4, 4), (10_000, 110_000)] {
        let mut settings = common::base();
        settings["specifics"]["below"] = json!("off");
        let address = "127.0.0.1:1";
        let config = json!({"name": "n1", "listen": address, "processor": address, "control": address,
            "seed": "7", "stop_ms": 2000, "limits": {"memory_mb": 192, "sockets": 128}, "settings": settings});
        let mut config = Config::parse(&config.to_string()).expect("a valid configuration");
        config.settings = std::mem::take(&mut config.settings).split().global;
        let of_classes = (0..classes).map(|n| class(n, 1.0)).collect();
        let of_tenants = (0..tenants).map(|n| tenant(n, 1.0)).collect();
        let mut reducer = Reducer::with_definitions(&config, of_classes, of_tenants, Registration::default())
            .expect("a reducer");
        step(&mut reducer, 9_000, vec![Input::LinkUp { link: 1, cold: false, age: Span(0) }]);
        let mut apply = |changes: Vec<Change>, ms: u64| {
            let started = Instant::now();
            reducer.apply_transaction(&Transaction { changes }).expect("a valid transaction");
            let (took, _) = step(&mut reducer, ms, Vec::new());
            (started.elapsed(), took)
        };
        let put_tenant = apply(vec![Change::PutTenant(tenant(0, 2.0))], 9_050).0;
        let put_class = apply(vec![Change::PutClass(class(1, 2.0))], 9_060).0;
        let batch = (0..50).flat_map(|n| {
            [Change::PutClass(class(n % classes, 3.0)), Change::PutTenant(tenant(n % tenants, 3.0))]
        });
        let batch = apply(batch.collect(), 9_070).0;
        let changes = (0..tenants).map(|n| Change::PutTenant(tenant(n, 4.0))).collect();
        let reload =
            Reload { config: config.clone(), changes, new_classes: 0, new_tenants: 0, compared_edition: 3 };
        let (mut longest, effects) = step(&mut reducer, 9_080, vec![Input::Reload(Box::new(reload))]);
        let (mut total, mut steps) = (longest, 1);
        let mut finished = effects.iter().any(|effect| matches!(effect, Effect::ReloadFinished));
        while !finished {
            let (took, effects) = step(&mut reducer, 9_081, Vec::new());
            (longest, total, steps) = (longest.max(took), total + took, steps + 1);
            finished = effects.iter().any(|effect| matches!(effect, Effect::ReloadFinished));
        }
        println!(
            "{classes} classes, {tenants} tenants: one tenant {put_tenant:?}, one class {put_class:?}, 100 changes \
             {batch:?}, a file at most {longest:?} per step, {total:?} in {steps} steps"
        );
    }
}
