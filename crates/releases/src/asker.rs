//! One server that wants to be out: whom of the council it asks, when it asks again, and until when it may begin.
//!
//! The right to begin counts from when the question left that was answered, by this server's own clock: whoever is stopped
//! between the answer and its leaving finds its time over. Not here: what leaving is, which is the server's.

use crate::chair::BEGIN_WITHIN;
use crate::record::{Name, Why};
use gradepin_decisions::{Span, Time, after, secs};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::sync::Arc;

const MS: u64 = 1_000_000;
/// An answer that doesn't come is waited for so long before the next voter is asked; one that says wait, before it is asked again.
const PATIENCE: Span = Span(400 * MS);
const AGAIN: Span = Span(1_000 * MS);
/// Between two questions at the least, however often it is sent elsewhere.
const PAUSE: Span = Span(50 * MS);
/// Questions whose times are known.
const MOST_SENT: usize = 8;

/// What is asked for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Want {
    /// A permit for this server to be out.
    Out,
    /// To begin by a permit.
    Begin(u64),
    /// Nothing any more: the permit may end.
    Cancel(u64),
}

/// A question to a voter. Its number tells which of them an answer is to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// Greater with each one of this life.
    pub number: u64,
    /// What.
    pub want: Want,
}

/// What a voter says to it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// Ask this one, or if nobody is named, another.
    Elsewhere(Option<Name>),
    /// Not now.
    Wait(Why),
    /// The permit of this epoch is kept for you: ask to begin when you do.
    Permit(u64),
    /// Begin, within [`BEGIN_WITHIN`] of your question.
    Begin(u64),
    /// It is over.
    Over,
}

/// What became of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Heard {
    /// Nothing yet.
    Nothing,
    /// It may begin by this permit, until then by its own clock.
    MayBegin(u64, Time),
    /// The permit is no longer there: what it was for may not begin.
    Stale(u64),
}

/// How long and why it waits.
#[derive(Debug, Clone, PartialEq)]
pub struct Waiting {
    /// Since when, in seconds.
    pub for_s: f64,
    /// What it was told last.
    pub why: String,
}

#[derive(Debug, Clone)]
struct Asking {
    want: Want,
    since: Time,
    next: Time,
    /// When which question left.
    sent: VecDeque<(u64, Time)>,
    why: String,
}

/// The questions of one server.
#[derive(Debug)]
pub struct Asker {
    voters: Vec<Name>,
    turn: usize,
    asking: Option<Asking>,
    number: u64,
}

impl Asker {
    /// With the voters that may be asked, and numbers from `number` on: greater than any that an earlier life used.
    pub fn new(voters: Vec<Name>, number: u64) -> Self {
        Self { voters, turn: 0, asking: None, number }
    }

    /// The voters as they are known now.
    pub fn voters(&mut self, voters: Vec<Name>) {
        if !voters.is_empty() && voters != self.voters {
            (self.voters, self.turn) = (voters, 0);
        }
    }

    /// Asks for this from now on, unless that is what is asked for already.
    pub fn want(&mut self, now: Time, want: Want) {
        if self.asking.as_ref().is_some_and(|asking| asking.want == want) {
            return;
        }
        let why = "nobody of the council has answered yet".to_string();
        self.asking = Some(Asking { want, since: now, next: now, sent: VecDeque::new(), why });
    }

    /// Asks for nothing any more.
    pub fn stop(&mut self) {
        self.asking = None;
    }

    /// What is asked for.
    pub fn wanted(&self) -> Option<&Want> {
        self.asking.as_ref().map(|asking| &asking.want)
    }

    /// Why it waits and for how long already.
    pub fn waits(&self, now: Time) -> Option<Waiting> {
        let asking = self.asking.as_ref()?;
        let for_s = secs(Span(now.0.saturating_sub(asking.since.0)));
        Some(Waiting { for_s, why: asking.why.clone() })
    }

    /// The question that is due, and to whom.
    pub fn step(&mut self, now: Time) -> Option<(Name, Ask)> {
        let asking = self.asking.as_mut().filter(|asking| now >= asking.next)?;
        if self.voters.is_empty() {
            return None;
        }
        if !asking.sent.is_empty() {
            // The last one went unanswered: perhaps another hears.
            self.turn += 1;
        }
        self.number += 1;
        asking.next = after(now, PATIENCE);
        asking.sent.push_back((self.number, now));
        if asking.sent.len() > MOST_SENT {
            asking.sent.pop_front();
        }
        let to = Arc::clone(&self.voters[self.turn % self.voters.len()]);
        Some((to, Ask { number: self.number, want: asking.want.clone() }))
    }

    /// When [`Asker::step`] has something to do.
    pub fn wake_at(&self) -> Option<Time> {
        self.asking.as_ref().map(|asking| asking.next)
    }

    /// A voter answered.
    pub fn heard(&mut self, now: Time, number: u64, answer: Answer) -> Heard {
        let Some(asking) = &mut self.asking else { return Heard::Nothing };
        // To a question of another life, or one that was given up long ago.
        let Some((_, asked)) = asking.sent.iter().find(|(sent, _)| *sent == number).copied() else {
            return Heard::Nothing;
        };
        match answer {
            Answer::Elsewhere(whom) => {
                let known = whom.as_ref().and_then(|whom| self.voters.iter().position(|voter| voter == whom));
                asking.sent.clear();
                asking.next = after(now, if known.is_some() { PAUSE } else { PATIENCE });
                self.turn = known.unwrap_or(self.turn + 1);
                if known.is_none() {
                    asking.why = "the council has no leader that is heard".into();
                }
            }
            Answer::Wait(why) => {
                asking.why = why.to_string();
                asking.sent.clear();
                asking.next = after(now, AGAIN);
                if let (Why::Stale(epoch), Want::Begin(_)) = (why, &asking.want) {
                    self.asking = None;
                    return Heard::Stale(epoch);
                }
            }
            Answer::Permit(epoch) => {
                if asking.want == Want::Out {
                    asking.want = Want::Begin(epoch);
                    (asking.why, asking.next) = (format!("permit {epoch} is kept"), now);
                    asking.sent.clear();
                }
            }
            Answer::Begin(epoch) => {
                if asking.want == Want::Begin(epoch) {
                    self.asking = None;
                    return Heard::MayBegin(epoch, after(asked, BEGIN_WITHIN));
                }
            }
            Answer::Over => {
                if matches!(asking.want, Want::Cancel(_)) {
                    self.asking = None;
                }
            }
        }
        Heard::Nothing
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ms(ms: u64) -> Time {
        Time(ms * MS)
    }

    fn asker() -> Asker {
        Asker::new(["n0", "n1", "n2"].map(Arc::from).into(), 0)
    }

    fn next(asker: &mut Asker) -> (Time, Name, Ask) {
        let at = asker.wake_at().expect("it asks");
        let (to, ask) = asker.step(at).expect("a question");
        (at, to, ask)
    }

    /// Guards the right to begin: it counts from the question that was answered, not from the answer, and an answer to an older
    /// question gives no more time than that one had.
    #[test]
    fn the_right_to_begin_counts_from_its_question() {
        let mut asker = asker();
        asker.want(ms(1_000), Want::Begin(7));
        let (first_at, _, first) = next(&mut asker);
        let (_, _, _) = next(&mut asker);
        assert_eq!(
            asker.heard(ms(3_000), first.number + 9, Answer::Begin(7)),
            Heard::Nothing,
            "to no question"
        );
        let until = after(first_at, BEGIN_WITHIN);
        assert_eq!(asker.heard(ms(9_000), first.number, Answer::Begin(7)), Heard::MayBegin(7, until));
        assert!(until < ms(9_000), "it was stopped meanwhile, and may not");
    }

    /// Guards against a question that is put to a dead voter for ever, and against one that is put without a pause.
    #[test]
    fn voters_are_asked_in_turn_and_the_leader_once_it_is_named() {
        let mut asker = asker();
        asker.want(ms(0), Want::Out);
        let names: Vec<Name> = (0..4).map(|_| next(&mut asker).1).collect();
        assert_eq!(names, ["n0", "n1", "n2", "n0"].map(Name::from));
        let (at, _, ask) = next(&mut asker);
        asker.heard(at, ask.number, Answer::Elsewhere(Some(Arc::from("n2"))));
        let (then, to, ask) = next(&mut asker);
        assert!(&*to == "n2" && then >= after(at, PAUSE));
        let why = Why::Zones { out: 2, most: 1 };
        asker.heard(then, ask.number, Answer::Wait(why.clone()));
        let waits = asker.waits(after(then, Span(2_000 * MS))).unwrap();
        assert!(waits.why == why.to_string() && waits.for_s > 3.0);
        let (_, to, ask) = next(&mut asker);
        assert_eq!(&*to, "n2", "the leader again");
        asker.heard(then, ask.number, Answer::Permit(12));
        assert_eq!(asker.wanted(), Some(&Want::Begin(12)));
        let (at, to, ask) = next(&mut asker);
        assert!(at <= after(then, AGAIN) && &*to == "n2");
        assert_eq!(asker.heard(at, ask.number, Answer::Wait(Why::Stale(12))), Heard::Stale(12));
        assert_eq!(asker.wake_at(), None);
    }
}
