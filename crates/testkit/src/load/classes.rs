//! Request classes with the settings that client proxies use.

use std::time::Duration;

/// A request class as seen by client proxies.
#[derive(Debug, Clone)]
pub struct Class {
    /// Class name on the wire.
    pub name: String,
    /// Fraction of all requests.
    pub share: f64,
    /// Time that callers wait for a request.
    pub deadline: Duration,
    /// Latency objective; a request served later counts as late.
    pub aim: Duration,
    /// Whether requests carry an idempotency key, common to all attempts, and must run once.
    pub keyed: bool,
}

/// The standard classes, with a quarter of their full times to keep tests short.
pub fn classes() -> Vec<Class> {
    let class = |name: &str, share, aim, deadline, keyed| Class {
        name: name.to_string(),
        share,
        aim: Duration::from_millis(aim),
        deadline: Duration::from_millis(deadline),
        keyed,
    };
    vec![
        class("sheet-view", 0.36, 400, 1000, false),
        class("deep-zoom", 0.29, 550, 1450, false),
        class("label-read", 0.23, 400, 1000, false),
        class("label-save", 0.12, 400, 1000, true),
    ]
}

/// The standard classes with latency objectives and deadlines multiplied by `scale`; 4 gives the full times.
pub fn scaled_classes(scale: u32) -> Vec<Class> {
    let scaled = |class: Class| Class { aim: class.aim * scale, deadline: class.deadline * scale, ..class };
    classes().into_iter().map(scaled).collect()
}
