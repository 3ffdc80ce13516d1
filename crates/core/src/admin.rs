//! The operators' door as the reducer sees it: the calls it takes, what they are answered, and the one order it
//! keeps, a drain by hand. Whether the process is ready is decided here, from what the reducer tells of itself.
//!
//! Owns no socket and speaks no HTTP: the shell makes calls of requests and responses of answers, and it answers on
//! its own where the reducer is late.

use crate::configuration::{ConfigurationAnswer, ConfigurationCall};
use crate::tally::Stats;
use gradepin_admission::Time;
use gradepin_cluster::cluster::FleetView;
use gradepin_coordination::messages::Order;
use gradepin_coordination::server_agent::{Became, Status as Agreements};

/// Names a call of the door until it is answered; never used again.
pub type CallId = u64;

/// What an operator asks.
#[derive(Debug, Clone, PartialEq)]
pub enum AdminCall {
    /// Whether this process is ready to serve.
    Health,
    /// The figures.
    Stats,
    /// The fleet as this server sees it.
    Fleet,
    /// Send clients away: health says no until the drain ends.
    Fail,
    /// The drain ends: back to work.
    Ok,
    /// About what the fleet agrees on.
    Agreed(FleetCall),
    /// About the committed configuration.
    Configuration(ConfigurationCall),
}

/// What an operator asks of the fleet's agreements.
#[derive(Debug, Clone, PartialEq)]
pub enum FleetCall {
    /// How they stand, as far as is known here.
    Status,
    /// Have the council agree on something.
    Order(Box<Order>),
    /// What became of an order of this ticket.
    Became(u64),
    /// Found the council.
    Found,
    /// Which program a server shall have, for who starts its process.
    Wanted(String),
    /// This server asks for a permit and leaves by it.
    Leave,
    /// It stays.
    Stay,
}

/// What that is answered.
#[derive(Debug, Clone, PartialEq)]
pub enum FleetAnswer {
    /// This server takes no part.
    Off,
    /// How they stand.
    Status(Box<Agreements>),
    /// The order is under way, under this ticket.
    Ticket(u64),
    /// What became of it.
    Became(Became),
    /// Done, or not, and why.
    Said(Result<String, String>),
    /// The version, if a release has one for it.
    Wanted(Option<String>),
}

/// What a call is answered.
#[derive(Debug, Clone, PartialEq)]
pub enum AdminAnswer {
    /// Ready to serve, or not, and why not.
    Health(Result<(), NotReady>),
    /// The figures as of now.
    Stats(Box<Stats>),
    /// About what the fleet agrees on.
    Agreed(FleetAnswer),
    /// About the committed configuration.
    Configuration(Box<ConfigurationAnswer>),
    /// The fleet as it is seen from here; none where servers don't talk to each other.
    Fleet(Option<Box<FleetView>>),
    /// The order is in force, and whether it changed anything.
    Done {
        /// Whether the process is drained by hand from now on.
        failed: bool,
        /// Whether it was not so before.
        changed: bool,
    },
}

/// Why a process is not ready to serve; the first that holds, in this order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotReady {
    /// It was told to leave.
    Leaving,
    /// An operator drains it.
    Drained,
    /// Its processor has not greeted yet: nothing could run.
    NoProcessor,
    /// The decision module says it is unwell, or an operator took it out of service.
    Unwell,
}

impl NotReady {
    /// In a word, for the response and the log.
    pub fn word(self) -> &'static str {
        match self {
            Self::Leaving => "leaving",
            Self::Drained => "drained",
            Self::NoProcessor => "no processor",
            Self::Unwell => "unwell",
        }
    }
}

/// What the reducer tells of itself when readiness is asked.
#[derive(Debug, Clone, Copy, Default)]
pub struct Standing {
    /// The processor has greeted, and the module is there.
    pub processor: bool,
    /// The module says it takes work, and no operator took the server out.
    pub well: bool,
    /// The notice to leave has come.
    pub leaving: bool,
}

/// The drain that operators order at the door, and since when.
#[derive(Debug, Default)]
pub struct Door {
    failed_since: Option<Time>,
}

impl Door {
    /// Takes a call that changes something, and says what it is answered; the others are the reducer's to answer.
    pub fn order(&mut self, now: Time, call: &AdminCall) -> Option<AdminAnswer> {
        let changed = match call {
            AdminCall::Fail => self.failed_since.replace(self.failed_since.unwrap_or(now)).is_none(),
            AdminCall::Ok => self.failed_since.take().is_some(),
            AdminCall::Health
            | AdminCall::Stats
            | AdminCall::Fleet
            | AdminCall::Agreed(_)
            | AdminCall::Configuration(_) => return None,
        };
        Some(AdminAnswer::Done { failed: self.failed_since.is_some(), changed })
    }

    /// Whether an operator drains the process, and since when.
    pub fn failed_since(&self) -> Option<Time> {
        self.failed_since
    }

    /// Whether the process is ready: it answers as it serves, and says no at once after a drain was ordered.
    pub fn ready(&self, standing: Standing) -> Result<(), NotReady> {
        if standing.leaving {
            Err(NotReady::Leaving)
        } else if self.failed_since.is_some() {
            Err(NotReady::Drained)
        } else if !standing.processor {
            Err(NotReady::NoProcessor)
        } else if !standing.well {
            Err(NotReady::Unwell)
        } else {
            Ok(())
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const UP: Standing = Standing { processor: true, well: true, leaving: false };

    /// Guards the drain rule: no good answer from the call on, and a good one again as soon as it ends.
    #[test]
    fn a_drain_says_no_at_once_and_its_end_says_yes_at_once() {
        let mut door = Door::default();
        assert_eq!(door.ready(UP), Ok(()));
        let failed = door.order(Time(5), &AdminCall::Fail);
        assert_eq!(failed, Some(AdminAnswer::Done { failed: true, changed: true }));
        assert_eq!(door.ready(UP), Err(NotReady::Drained));
        // A second call changes nothing, and the drain counts from the first.
        assert_eq!(
            door.order(Time(9), &AdminCall::Fail),
            Some(AdminAnswer::Done { failed: true, changed: false })
        );
        assert_eq!(door.failed_since(), Some(Time(5)));
        assert_eq!(
            door.order(Time(12), &AdminCall::Ok),
            Some(AdminAnswer::Done { failed: false, changed: true })
        );
        assert_eq!(door.ready(UP), Ok(()));
        assert_eq!(
            door.order(Time(13), &AdminCall::Ok),
            Some(AdminAnswer::Done { failed: false, changed: false })
        );
    }

    /// Guards the upgrade: a new process says yes only once it can serve, and an old one no once it leaves.
    #[test]
    fn readiness_follows_what_the_process_can_do() {
        let mut door = Door::default();
        assert_eq!(door.ready(Standing::default()), Err(NotReady::NoProcessor));
        assert_eq!(door.ready(Standing { well: false, ..UP }), Err(NotReady::Unwell));
        assert_eq!(door.ready(Standing { leaving: true, ..UP }), Err(NotReady::Leaving));
        assert_eq!(door.order(Time(1), &AdminCall::Health), None);
    }
}
