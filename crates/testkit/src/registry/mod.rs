//! A stand-in for Eureka's server: the rules are the model's ([`state`]), HTTP in [`server`], faults by script in
//! [`faults`].

pub mod faults;
pub mod server;
pub use gradepin_model::discovery::registry as state;

use gradepin_admission::Span;
use gradepin_registry::instance::Instance;
use gradepin_registry::membership::MembershipSettings;

/// How a member behaves that benches and tests play with, with one service URL and an operator's usual times.
pub fn member(instance: Instance) -> MembershipSettings {
    let ms = |ms: u64| Span(ms * 1_000_000);
    MembershipSettings {
        instance,
        urls: 1,
        heartbeat: ms(30_000),
        timeout: ms(2_000),
        min_change_interval: ms(1_000),
        stabilization_period: ms(1_000),
        ready_share: 0.6,
        cold_capacity: 0.21,
        cold: ms(18_000),
        preferred_retry_interval: ms(60_000),
        cancel: false,
    }
}
