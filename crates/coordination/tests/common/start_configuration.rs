//! Content of a start file. A configuration needs at least one class.

use gradepin_admission::{ClassProfile, Idempotency, Settings, Span};
use gradepin_config::configuration::Configuration;

pub fn start_configuration() -> Configuration {
    let second = Span(1_000_000_000);
    let profile = ClassProfile {
        name: "read".into(),
        latency_objective: second,
        deadline: second,
        effect: Idempotency::Idempotent,
        late_value: 0.0,
        window: Span(0),
        priority_weight: 1.0,
        objective_stretch: 0.0,
    };
    let settings = Settings { profiles: vec![profile], over_quota_weight: 1.0, ..Settings::default() };
    Configuration::from_settings(&settings).expect("valid")
}
