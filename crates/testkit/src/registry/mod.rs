//! Stand-in for the Eureka server: registration rules shared with the model ([`state`]), HTTP API ([`server`]) and scripted
//! faults ([`faults`]).

pub mod faults;
pub mod server;
pub use gradepin_model::discovery::registry as state;

use gradepin_admission::Span;
use gradepin_registry::instance::Instance;
use gradepin_registry::membership::MembershipSettings;

/// Membership settings for benches and tests, with one service URL and the usual production intervals.
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
