//! Who confirms the own state, and who contradicts it.
//!
//! One peer that names another digest for a revision that is known here is wrong, most likely. Two of them, and more than
//! those who confirm, mean that the own state is the wrong one.

use crate::change::Name;
use crate::digest::Version;
use gradepin_admission::{Span, Time, time_after};
use std::collections::BTreeMap;

/// What was heard counts for so long.
const WINDOW: Span = Span(60_000_000_000);
/// Peers remembered, at the most.
const MOST: usize = 64;
/// Peers that it takes to doubt the own state.
const DOUBT: usize = 2;

/// What peers said of the own state.
#[derive(Debug, Default)]
pub struct Witnesses {
    confirming: BTreeMap<Name, Time>,
    contradicting: BTreeMap<Name, Time>,
    /// Records for the next revision that didn't fit, with who sent them.
    misfits: Vec<(Version, Name)>,
}

fn remember(list: &mut BTreeMap<Name, Time>, now: Time, name: &Name) {
    if list.len() >= MOST && !list.contains_key(name) {
        list.retain(|_, at| now < time_after(*at, WINDOW));
    }
    if list.len() < MOST || list.contains_key(name) {
        list.insert(name.clone(), now);
    }
}

impl Witnesses {
    /// A peer named the digest that is known here.
    pub fn confirm(&mut self, now: Time, name: &Name) {
        self.contradicting.remove(name);
        remember(&mut self.confirming, now, name);
    }

    /// A peer named another one. Says whether the own state is in doubt.
    pub fn contradict(&mut self, now: Time, name: &Name) -> bool {
        self.confirming.remove(name);
        remember(&mut self.contradicting, now, name);
        let fresh =
            |list: &BTreeMap<Name, Time>| list.values().filter(|at| now < time_after(**at, WINDOW)).count();
        let against = fresh(&self.contradicting);
        against >= DOUBT && against > fresh(&self.confirming)
    }

    /// A record that follows the own state came, and its digest doesn't come out. Where two peers sent the same one the own
    /// state is in doubt, and these peers are given back.
    pub fn misfit(&mut self, version: Version, name: &Name) -> Vec<Name> {
        self.misfits.retain(|(other, _)| other.revision == version.revision);
        let entry = (version, name.clone());
        if !self.misfits.contains(&entry) && self.misfits.len() < MOST {
            self.misfits.push(entry);
        }
        let same: Vec<Name> = self
            .misfits
            .iter()
            .filter(|(other, _)| *other == version)
            .map(|(_, from)| from.clone())
            .collect();
        if same.len() >= DOUBT { same } else { Vec::new() }
    }

    /// Another state is in force.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}
