//! How long one change holds the reducer at the target size. A measurement: nothing here fails by a time.

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
    let began = Instant::now();
    reducer.step(Timestamp { now: Time(ms * MS), unix_ms: ms }, inputs, &mut effects);
    (began.elapsed(), effects)
}

/// Prints the longest hold by one change, a batch of 100 and a file that replaces all tenants.
#[test]
#[ignore = "a measurement"]
fn longest_holds() {
    for (classes, tenants) in [(4, 4), (10_000, 110_000)] {
        let mut settings = common::base();
        settings["specifics"]["below"] = json!("off");
        let address = "127.0.0.1:1";
        let config = json!({"name": "n1", "listen": address, "processor": address, "control": address,
            "seed": "7", "stop_ms": 2000, "limits": {"sockets": 128}, "settings": settings});
        let mut config = Config::parse(&config.to_string()).expect("a whole configuration");
        config.settings = std::mem::take(&mut config.settings).split().rest;
        let of_classes = (0..classes).map(|n| class(n, 1.0)).collect();
        let of_tenants = (0..tenants).map(|n| tenant(n, 1.0)).collect();
        let mut reducer = Reducer::with_definitions(&config, of_classes, of_tenants, Registration::default())
            .expect("whole");
        step(&mut reducer, 9_000, vec![Input::LinkUp { link: 1, cold: false, age: Span(0) }]);
        let mut hold = |changes: Vec<Change>, ms: u64| {
            let began = Instant::now();
            reducer.apply_transaction(&Transaction { changes }).expect("applied");
            let (took, _) = step(&mut reducer, ms, Vec::new());
            (began.elapsed(), took)
        };
        let one = hold(vec![Change::PutTenant(tenant(0, 2.0))], 9_050).0;
        let put_class = hold(vec![Change::PutClass(class(1, 2.0))], 9_060).0;
        let batch = (0..50).flat_map(|n| {
            [Change::PutClass(class(n % classes, 3.0)), Change::PutTenant(tenant(n % tenants, 3.0))]
        });
        let batch = hold(batch.collect(), 9_070).0;
        let changes = (0..tenants).map(|n| Change::PutTenant(tenant(n, 4.0))).collect();
        let reload =
            Reload { config: config.clone(), changes, new_classes: 0, new_tenants: 0, compared_edition: 3 };
        let (mut longest, effects) = step(&mut reducer, 9_080, vec![Input::Reload(Box::new(reload))]);
        let (mut whole, mut pieces) = (longest, 1);
        let mut over = effects.iter().any(|effect| matches!(effect, Effect::ReloadFinished));
        while !over {
            let (took, effects) = step(&mut reducer, 9_081, Vec::new());
            (longest, whole, pieces) = (longest.max(took), whole + took, pieces + 1);
            over = effects.iter().any(|effect| matches!(effect, Effect::ReloadFinished));
        }
        println!(
            "{classes} classes, {tenants} tenants: a tenant {one:?}, a class {put_class:?}, 100 changes \
             {batch:?}, a file {longest:?} at a time in {pieces} pieces of {whole:?}"
        );
    }
}
