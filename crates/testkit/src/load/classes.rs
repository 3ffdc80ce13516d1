//! The classes of requests as callers know them.

use std::time::Duration;

/// A class as callers know it.
#[derive(Debug, Clone)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Its part of the requests.
    pub share: f64,
    /// How long callers wait.
    pub deadline: Duration,
    /// How long until the full worth is lost.
    pub aim: Duration,
    /// Whether its tries share a token and must run once.
    pub keyed: bool,
}

/// The classes of the brief, at a quarter of its times.
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

/// The same with aims and deadlines so many times as long; 4 gives the brief's own.
pub fn scaled_classes(scale: u32) -> Vec<Class> {
    let scaled = |class: Class| Class { aim: class.aim * scale, deadline: class.deadline * scale, ..class };
    classes().into_iter().map(scaled).collect()
}
