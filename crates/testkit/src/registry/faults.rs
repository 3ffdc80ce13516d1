//! Faults of the stand-in registry, and scripts that switch them by time.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

/// A fault of the registry.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub enum Fault {
    /// Normal operation.
    #[default]
    None,
    /// The listener is closed, so that connections are refused.
    Refuse,
    /// Connections are accepted, but requests are never answered.
    Hang,
    /// Each answer is delayed by this time.
    Delay(Duration),
    /// Requests are not executed, and each answer has this status.
    Status(u16),
    /// Answers are not valid HTTP.
    Garbage,
    /// Answers have a body of 100 MiB.
    Huge,
    /// Answers are truncated in the body.
    Cut,
    /// All registrations are lost once; normal operation follows.
    RestartEmpty,
    /// The lease of instance `ID` in `APP` is lost once; normal operation follows. `*` picks the first instance.
    Forget(String, String),
    /// Changes are neither sent to peers nor accepted from them.
    Apart,
}

impl Fault {
    /// A fault of each kind, for random selection.
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

/// Part of a script that can't be parsed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error(
    "expected '[MS] none|refuse|hang|delay MS|status CODE|garbage|huge|cut|restart-empty|forget APP/ID|apart', got '{0}'"
)]
pub struct ParseFaultError(String);

impl FromStr for Fault {
    type Err = ParseFaultError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let bad = || ParseFaultError(text.to_string());
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

/// Faults by time since the start; each stays in force until the next.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Script(Vec<(Duration, Fault)>);

impl Script {
    /// Returns the fault in force at a time since the start.
    pub fn at(&self, since: Duration) -> Option<&Fault> {
        self.0.iter().rev().find(|(from, _)| *from <= since).map(|(_, fault)| fault)
    }
}

impl FromStr for Script {
    type Err = ParseFaultError;

    /// Parses steps such as `500 hang; 2500 none`, each with its start in milliseconds.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let steps = text.split(';').map(str::trim).filter(|step| !step.is_empty()).map(|step| {
            let (ms, fault) = step.split_once(' ').ok_or_else(|| ParseFaultError(step.to_string()))?;
            let ms = ms.parse().map_err(|_| ParseFaultError(step.to_string()))?;
            Ok((Duration::from_millis(ms), fault.parse()?))
        });
        let mut steps = steps.collect::<Result<Vec<_>, ParseFaultError>>()?;
        steps.sort_by_key(|(from, _)| *from);
        Ok(Self(steps))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn scripts_switch_faults_by_time_and_malformed_ones_are_rejected() {
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
