//! Founding the consensus group is safe to ask for again: an answer is lost, a voter is heard late, settings differ.

use gradepin_decisions::{Span, Time, after};
use gradepin_releases::chair::{ChairSettings, Report};
use gradepin_releases::council::Found;
use gradepin_releases::founding::FoundingError;
use gradepin_releases::part::{Effect, Part, PartSettings};
use gradepin_releases::record::Name;
use std::collections::BTreeSet;
use std::sync::Arc;

const TURN: Span = Span(10_000_000);
const SECOND: Span = Span(1_000_000_000);
const ALL: &[usize] = &[0, 1, 2];

fn name(n: usize) -> Name {
    Arc::from(format!("n{n}"))
}

/// Servers that reach each other at once; writes are durable at once. Who is cut off neither sends nor receives.
struct Fleet {
    now: Time,
    parts: Vec<Part>,
    cut: BTreeSet<usize>,
}

impl Fleet {
    /// Server `n` names these voters in its settings; the first three have a folder.
    fn new(voters_of: &[&[usize]]) -> Self {
        let now = Time(SECOND.0);
        let part = |(n, voters): (usize, &&[usize])| {
            let found = Found { id: 100 + n as u64, records: Vec::new() };
            let set = PartSettings {
                name: name(n),
                life: 1,
                zone: format!("z{n}"),
                voters: voters.iter().copied().map(name).collect(),
                folder: (n < 3).then_some(found),
                chair: ChairSettings::default(),
                waits: true,
                seed: 5 + n as u64,
            };
            Part::new(set, now)
        };
        Self { now, parts: voters_of.iter().enumerate().map(part).collect(), cut: BTreeSet::new() }
    }

    fn run(&mut self, span: Span) {
        let until = after(self.now, span);
        while self.now < until {
            self.now = after(self.now, TURN);
            (0..self.parts.len()).for_each(|n| self.step(n));
        }
    }

    fn step(&mut self, n: usize) {
        let mut effects = Vec::new();
        self.parts[n].tells(self.now, Report { zone: format!("z{n}"), ready: true, ..Report::default() });
        self.parts[n].step(self.now, &mut effects);
        for effect in effects {
            match effect {
                Effect::Send(to, bytes) => {
                    let to = (0..self.parts.len()).find(|other| name(*other) == to).expect("a server");
                    if !self.cut.contains(&n) && !self.cut.contains(&to) {
                        self.parts[to].word(self.now, &name(n), 1, &bytes);
                    }
                }
                Effect::Write(number, _) => self.parts[n].written(number),
                _ => {}
            }
        }
    }

    fn found(&mut self, n: usize) -> Result<String, FoundingError> {
        self.parts[n].found(self.now)
    }

    fn leader(&self, n: usize) -> Option<Name> {
        self.parts[n].status(self.now).leader
    }
}

/// Whoever asked doesn't learn that it is founded and asks again: at once, at another voter, and when the group has long run.
#[test]
fn a_founding_whose_answer_is_lost_is_answered_the_same_again() {
    let mut fleet = Fleet::new(&[ALL; 3]);
    fleet.run(SECOND);
    let lost = fleet.found(1).expect("all are heard");
    assert_eq!(lost, "a council of n0, n1, n2 is founded");
    assert_eq!(fleet.found(1), Ok(lost.clone()), "at once");
    fleet.run(SECOND);
    for n in 0..3 {
        assert_eq!(fleet.found(n), Ok(lost.clone()), "at n{n} before a leader");
    }
    fleet.run(Span(8 * SECOND.0));
    assert!(fleet.leader(0).is_some());
    let index = fleet.parts[0].record().expect("a record").index;
    for n in 0..3 {
        assert_eq!(fleet.found(n), Ok(lost.clone()), "at n{n} of the group that runs");
    }
    fleet.run(SECOND);
    assert_eq!(fleet.parts[0].record().map(|record| record.index), Some(index), "and nothing began anew");
}

/// A voter isn't heard: refused by its name until it is. Voters are cut off right after the answer, for longer than the founding
/// is sent: asking again founds the same group.
#[test]
fn a_voter_that_is_heard_late_is_founded_by_asking_again() {
    let mut fleet = Fleet::new(&[ALL; 3]);
    fleet.cut.insert(2);
    fleet.run(SECOND);
    assert_eq!(fleet.found(0), Err(FoundingError::NotHeard(name(2))));
    fleet.cut.clear();
    fleet.run(SECOND);
    let answer = fleet.found(0).expect("all are heard");
    fleet.cut.extend([1, 2]);
    fleet.run(Span(30 * SECOND.0));
    fleet.cut.clear();
    fleet.run(SECOND);
    assert_eq!(fleet.found(1), Err(FoundingError::RunsElsewhere(name(0))), "one that hasn't learned of it");
    assert_eq!(fleet.found(0), Ok(answer.clone()));
    fleet.run(Span(8 * SECOND.0));
    for n in 0..3 {
        assert_eq!(fleet.found(n), Ok(answer.clone()));
        assert!(fleet.leader(n).is_some(), "n{n} knows a leader");
    }
}

/// Other voters, and a server that has no folder, get an error that says what is and what was expected.
#[test]
fn a_founding_with_other_voters_says_which_group_runs() {
    let mut fleet = Fleet::new(&[&[0, 1, 2], &[0, 1, 2], &[0, 2, 3], &[0, 1, 2]]);
    fleet.run(SECOND);
    assert_eq!(fleet.found(3), Err(FoundingError::NoFolder));
    assert_eq!(fleet.found(2), Err(FoundingError::NoFolderAt(name(3))));
    fleet.found(0).expect("by its settings");
    // The group takes n2 over by its leader, though its settings name others.
    fleet.run(Span(10 * SECOND.0));
    let why = fleet.found(2).expect_err("its settings name others").to_string();
    assert_eq!(why, "a council of n0, n1, n2 runs already, the settings here name n0, n2, n3");
    assert!(fleet.found(0).is_ok() && fleet.found(1).is_ok());
}
