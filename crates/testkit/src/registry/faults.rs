//! What a stand-in registry does wrong, and when.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

/// One way to fail.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub enum Fault {
    /// All is well.
    #[default]
    None,
    /// Connections are refused.
    Refuse,
    /// Connections are accepted, and nothing is ever answered.
    Hang,
    /// Each answer comes so much later.
    Delay(Duration),
    /// Nothing is done, and each answer has this status.
    Status(u16),
    /// Answers are bytes that are no HTTP.
    Garbage,
    /// Answers have a body of 100 MB.
    Huge,
    /// Answers end in the middle.
    Cut,
    /// All that is held is forgotten, once; then all is well.
    RestartEmpty,
    /// One lease is forgotten, once: `APP/ID`; then all is well.
    Forget(String, String),
    /// Nothing is told to peers, nor taken from them.
    Apart,
}

impl Fault {
    /// One of each kind, to draw from.
    pub fn kinds() -> Vec<Self> {
        let late = Duration::from_millis(700);
        let forget = Self::Forget("TILE-SERVER".into(), "*".into());
        vec![
            Self::Refuse,
            Self::Hang,
            Self::Delay(late),
            Self::Status(500),
            Self::Status(503),
            Self::Garbage,
            Self::Huge,
            Self::Cut,
            Self::RestartEmpty,
            forget,
            Self::Apart,
        ]
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::None => write!(f, "none"),
            Self::Refuse => write!(f, "refuse"),
            Self::Hang => write!(f, "hang"),
            Self::Delay(by) => write!(f, "delay {}", by.as_millis()),
            Self::Status(status) => write!(f, "status {status}"),
            Self::Garbage => write!(f, "garbage"),
            Self::Huge => write!(f, "huge"),
            Self::Cut => write!(f, "cut"),
            Self::RestartEmpty => write!(f, "restart-empty"),
            Self::Forget(app, id) => write!(f, "forget {app}/{id}"),
            Self::Apart => write!(f, "apart"),
        }
    }
}

/// Why a script can't be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error(
    "expected '[MS] none|refuse|hang|delay MS|status CODE|garbage|huge|cut|restart-empty|forget APP/ID|apart', got '{0}'"
)]
pub struct BadFault(String);

impl FromStr for Fault {
    type Err = BadFault;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let bad = || BadFault(text.to_string());
        let words: Vec<&str> = text.split_whitespace().collect();
        Ok(match words[..] {
            ["none"] => Self::None,
            ["refuse"] => Self::Refuse,
            ["hang"] => Self::Hang,
            ["delay", ms] => Self::Delay(Duration::from_millis(ms.parse().map_err(|_| bad())?)),
            ["status", code] => {
                Self::Status(code.parse().ok().filter(|c| (200..600).contains(c)).ok_or_else(bad)?)
            }
            ["garbage"] => Self::Garbage,
            ["huge"] => Self::Huge,
            ["cut"] => Self::Cut,
            ["restart-empty"] => Self::RestartEmpty,
            ["forget", which] => {
                let (app, id) = which.split_once('/').ok_or_else(bad)?;
                Self::Forget(app.to_string(), id.to_string())
            }
            ["apart"] => Self::Apart,
            _ => return Err(bad()),
        })
    }
}

/// Faults by the time since the start, each until the next.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Script(Vec<(Duration, Fault)>);

impl Script {
    /// The fault in force so long after the start.
    pub fn at(&self, since: Duration) -> Option<&Fault> {
        self.0.iter().rev().find(|(from, _)| *from <= since).map(|(_, fault)| fault)
    }
}

impl FromStr for Script {
    type Err = BadFault;

    /// Steps such as `500 hang; 2500 none`, each with the milliseconds from which on it holds.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let steps = text.split(';').map(str::trim).filter(|step| !step.is_empty()).map(|step| {
            let (ms, fault) = step.split_once(' ').ok_or_else(|| BadFault(step.to_string()))?;
            let ms = ms.parse().map_err(|_| BadFault(step.to_string()))?;
            Ok((Duration::from_millis(ms), fault.parse()?))
        });
        let mut steps = steps.collect::<Result<Vec<_>, BadFault>>()?;
        steps.sort_by_key(|(from, _)| *from);
        Ok(Self(steps))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_script_says_what_holds_when_and_bad_ones_are_told() {
        let script: Script = "2500 none; 500 hang".parse().unwrap();
        let at = |ms| script.at(Duration::from_millis(ms)).cloned();
        assert_eq!(
            (at(0), at(500), at(2499), at(9000)),
            (None, Some(Fault::Hang), Some(Fault::Hang), Some(Fault::None))
        );
        for fault in Fault::kinds() {
            assert_eq!(fault.to_string().parse(), Ok(fault));
        }
        for bad in ["500", "x hang", "1 nothing", "1 status 9", "1 forget n3"] {
            assert!(bad.parse::<Script>().is_err(), "{bad}");
        }
    }
}
