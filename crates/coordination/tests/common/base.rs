//! The start file's content: a configuration holds at least one class.

use gradepin_admission::{ClassProfile, Idempotency, Settings, Span};
use gradepin_config::configuration::Configuration;

pub fn base() -> Configuration {
    let second = Span(1_000_000_000);
    let profile = ClassProfile {
        name: "read".into(),
        promise: second,
        deadline: second,
        effect: Idempotency::Repeatable,
        late_value: 0.0,
        window: Span(0),
        worth: 1.0,
        aim_stretch: 0.0,
    };
    let settings = Settings { profiles: vec![profile], over_share_worth: 1.0, ..Settings::default() };
    Configuration::from_settings(&settings).expect("valid")
}
