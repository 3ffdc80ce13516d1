//! Who is up, by zone and region, and which of them are talked to.

use super::settings::{DisseminationSettings, Selection};
use crate::change::Name;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::Rng;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Relays of each zone in [`Selection::Relays`]: one may be down.
const RELAYS: usize = 2;

/// A server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Its name.
    pub name: Name,
    /// Servers that may fail together.
    pub zone: Name,
    /// Zones that are near each other.
    pub region: Name,
    /// Whether it is of the consensus group.
    pub voter: bool,
}

/// How far away a server is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In the own zone.
    Zone,
    /// In another zone of the own region.
    Region,
    /// In another region.
    Far,
}

/// The servers that are believed to be up, without the own one.
#[derive(Debug)]
pub struct Peers {
    own: Member,
    known: BTreeMap<Name, Arc<Member>>,
    /// Names in order, by zone; the own server is in its zone.
    zones: BTreeMap<Name, Vec<Name>>,
    region: Vec<Name>,
    far: Vec<Name>,
    /// The own server among them, if it is one.
    voters: Vec<Name>,
}

fn insert(list: &mut Vec<Name>, name: &Name) {
    if let Err(place) = list.binary_search(name) {
        list.insert(place, name.clone());
    }
}

fn remove(list: &mut Vec<Name>, name: &str) {
    if let Ok(place) = list.binary_search_by(|other| other.as_ref().cmp(name)) {
        list.remove(place);
    }
}

/// A number below `count`.
pub fn below(rng: &mut Pcg64Mcg, count: usize) -> usize {
    (rng.next_u64() % count.max(1) as u64) as usize
}

impl Peers {
    /// The own server alone.
    pub fn new(own: Member) -> Self {
        let zones = BTreeMap::from([(own.zone.clone(), vec![own.name.clone()])]);
        let voters = if own.voter { vec![own.name.clone()] } else { Vec::new() };
        Self { own, known: BTreeMap::new(), zones, region: Vec::new(), far: Vec::new(), voters }
    }

    /// The own server.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Others that are up.
    pub fn count(&self) -> usize {
        self.known.len()
    }

    /// A server is up.
    pub fn up(&mut self, member: Arc<Member>) {
        if member.name == self.own.name || self.known.get(&member.name) == Some(&member) {
            return;
        }
        self.down(&member.name);
        insert(self.zones.entry(member.zone.clone()).or_default(), &member.name);
        if member.region != self.own.region {
            insert(&mut self.far, &member.name);
        } else if member.zone != self.own.zone {
            insert(&mut self.region, &member.name);
        }
        if member.voter {
            insert(&mut self.voters, &member.name);
        }
        self.known.insert(member.name.clone(), member);
    }

    /// A server is down.
    pub fn down(&mut self, name: &str) {
        let Some(member) = self.known.remove(name) else { return };
        if let Some(zone) = self.zones.get_mut(&member.zone) {
            remove(zone, name);
            if zone.is_empty() {
                self.zones.remove(&member.zone);
            }
        }
        [&mut self.region, &mut self.far, &mut self.voters].into_iter().for_each(|list| remove(list, name));
    }

    /// How far away a server is; one that isn't known counts as far.
    pub fn distance(&self, name: &str) -> Distance {
        match self.known.get(name) {
            Some(member) if member.zone == self.own.zone => Distance::Zone,
            Some(member) if member.region == self.own.region => Distance::Region,
            _ => Distance::Far,
        }
    }

    /// Whether a server is of the consensus group.
    pub fn is_voter(&self, name: &str) -> bool {
        self.voters.binary_search_by(|voter| voter.as_ref().cmp(name)).is_ok()
    }

    fn zone_of(&self, zone: &str) -> &[Name] {
        self.zones.get(zone).map_or(&[], Vec::as_slice)
    }

    fn relays(&self, zone: &str) -> &[Name] {
        let all = self.zone_of(zone);
        &all[..all.len().min(RELAYS)]
    }

    /// Whether the own server is a relay of its zone.
    fn is_relay(&self) -> bool {
        self.relays(&self.own.zone).contains(&self.own.name)
    }

    /// Adds up to `count` of a list, drawn at random, that are not chosen yet and not the own server.
    fn draw(&self, rng: &mut Pcg64Mcg, list: &[Name], count: usize, chosen: &mut Vec<Name>) {
        let all = list.iter().filter(|name| **name != self.own.name).count();
        let want = chosen.len() + count.min(all);
        // A few tries are enough where few of many are drawn.
        for _ in 0..4 * count {
            if chosen.len() >= want {
                return;
            }
            let name = &list[below(rng, list.len())];
            if *name != self.own.name && !chosen.contains(name) {
                chosen.push(name.clone());
            }
        }
    }

    /// Whom the revision is told to now.
    pub fn advert_targets(&self, settings: &DisseminationSettings, rng: &mut Pcg64Mcg) -> Vec<Name> {
        let mut chosen = Vec::new();
        match settings.selection {
            Selection::Epidemic => {
                self.draw(rng, self.zone_of(&self.own.zone), 1, &mut chosen);
                let alone = chosen.is_empty();
                if alone || below(rng, settings.region_part as usize) == 0 {
                    self.draw(rng, &self.region, 1, &mut chosen);
                }
                if chosen.is_empty() || below(rng, settings.far_part as usize) == 0 {
                    self.draw(rng, &self.far, 1, &mut chosen);
                }
            }
            Selection::Relays if self.is_relay() => self.draw(rng, &self.voters, 1, &mut chosen),
            Selection::Relays => self.draw(rng, self.relays(&self.own.zone), 1, &mut chosen),
            Selection::Voters => self.draw(rng, &self.voters, 1, &mut chosen),
        }
        chosen
    }

    /// Whom fresh commits are pushed to; `origin` where the own server, a voter, learned them from the consensus group.
    pub fn push_targets(
        &self,
        settings: &DisseminationSettings,
        origin: bool,
        rng: &mut Pcg64Mcg,
    ) -> Vec<Name> {
        let mut chosen = Vec::new();
        if settings.selection == Selection::Voters {
            return chosen;
        }
        let relays = settings.selection == Selection::Relays;
        if origin {
            let rank = self.voters.iter().position(|voter| *voter == self.own.name).unwrap_or(0);
            let others = self.zones.iter().enumerate().filter(|(_, (zone, _))| **zone != self.own.zone);
            for (_, (zone, names)) in others.filter(|(place, _)| place % self.voters.len().max(1) == rank) {
                let list = if relays { self.relays(zone) } else { names };
                self.draw(rng, list, settings.push_entry, &mut chosen);
            }
        }
        let zone = self.zone_of(&self.own.zone);
        match relays {
            false => self.draw(rng, zone, settings.push_zone, &mut chosen),
            true if self.is_relay() => {
                chosen.extend(zone.iter().filter(|name| **name != self.own.name).cloned());
            }
            true if origin => self.draw(rng, self.relays(&self.own.zone), RELAYS, &mut chosen),
            true => {}
        }
        // The bytes of a second may be spent before the end: at random, so that no zone comes last each time.
        for last in (1..chosen.len()).rev() {
            chosen.swap(last, below(rng, last + 1));
        }
        chosen
    }

    /// Peers of the own zone, at random.
    pub fn zone_peers(&self, rng: &mut Pcg64Mcg, count: usize) -> Vec<Name> {
        let mut chosen = Vec::new();
        self.draw(rng, self.zone_of(&self.own.zone), count, &mut chosen);
        chosen
    }

    /// Peers of which a snapshot may be had, nearest first: some of the zone, of the region, and a voter.
    pub fn snapshot_peers(&self, settings: &DisseminationSettings, rng: &mut Pcg64Mcg) -> Vec<Name> {
        let mut chosen = Vec::new();
        if settings.selection != Selection::Voters {
            self.draw(rng, self.zone_of(&self.own.zone), 3, &mut chosen);
            self.draw(rng, &self.region, 2, &mut chosen);
            self.draw(rng, &self.far, 1, &mut chosen);
        }
        self.draw(rng, &self.voters, 2, &mut chosen);
        chosen
    }

    /// Whether commits may be fetched from a server.
    pub fn may_fetch(&self, settings: &DisseminationSettings, name: &str) -> bool {
        match settings.selection {
            Selection::Epidemic => true,
            Selection::Voters => self.is_voter(name),
            Selection::Relays => {
                let near = self.relays(&self.own.zone).iter().any(|relay| relay.as_ref() == name);
                near || self.is_voter(name)
            }
        }
    }
}
