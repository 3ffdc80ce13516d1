//! The servers that are up, by zone and region, and the selection of peers among them.
//!
//! Invariant: a server that is up is in exactly one zone list, in at most one of the lists of this region and of other regions,
//! and in the voter list if it votes. All lists are sorted by name, so that all voters divide the zones in the same way.

use super::settings::{DisseminationSettings, Selection};
use crate::change::Name;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::Rng;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Number of relays of each zone in [`Selection::Relays`], so that one may be down.
const RELAYS_PER_ZONE: usize = 2;
/// Maximum number of random draws per wanted peer; after this, fewer peers than wanted are selected.
const MAX_DRAWS_PER_PEER: usize = 4;
/// Number of peers of the same zone in a selection of snapshot sources.
const SNAPSHOT_ZONE_PEERS: usize = 3;
/// Number of peers of other zones of the region in a selection of snapshot sources.
const SNAPSHOT_REGION_PEERS: usize = 2;
/// Number of peers of other regions in a selection of snapshot sources.
const SNAPSHOT_FAR_PEERS: usize = 1;
/// Number of voters in a selection of snapshot sources.
const SNAPSHOT_VOTERS: usize = 2;

/// A server of the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// The name of the server, unique in the fleet.
    pub name: Name,
    /// The zone of the server; servers of a zone may fail together.
    pub zone: Name,
    /// The region of the server; the zones of a region are near each other.
    pub region: Name,
    /// Whether the server is a member of the consensus group.
    pub voter: bool,
}

/// How far away another server is. Ordered from near to far.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In the same zone.
    Zone,
    /// In another zone of the same region.
    Region,
    /// In another region.
    Far,
}

/// This server and the others that the cluster membership reports as up.
#[derive(Debug)]
pub struct Peers {
    own: Member,
    members: BTreeMap<Name, Arc<Member>>,
    /// Names by zone. Includes this server.
    zones: BTreeMap<Name, Vec<Name>>,
    /// Servers in other zones of this server's region.
    region: Vec<Name>,
    /// Servers in other regions.
    far: Vec<Name>,
    /// All voters, including this server if it is one.
    voters: Vec<Name>,
}

fn insert_sorted(list: &mut Vec<Name>, name: &Name) {
    if let Err(index) = list.binary_search(name) {
        list.insert(index, name.clone());
    }
}

fn remove_sorted(list: &mut Vec<Name>, name: &str) {
    if let Ok(index) = list.binary_search_by(|other| other.as_ref().cmp(name)) {
        list.remove(index);
    }
}

/// A random number below `count`, or 0 if `count` is 0. Advances `rng` in either case.
pub fn random_below(rng: &mut Pcg64Mcg, count: usize) -> usize {
    (rng.next_u64() % count.max(1) as u64) as usize
}

impl Peers {
    /// Creates a view in which only this server is known.
    pub fn new(own: Member) -> Self {
        let zones = BTreeMap::from([(own.zone.clone(), vec![own.name.clone()])]);
        let voters = if own.voter { vec![own.name.clone()] } else { Vec::new() };
        Self { own, members: BTreeMap::new(), zones, region: Vec::new(), far: Vec::new(), voters }
    }

    /// The member entry of this server.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Number of other servers that are up.
    pub fn count(&self) -> usize {
        self.members.len()
    }

    /// Adds a server that is up, or updates its zone, region and vote.
    pub fn add(&mut self, member: Arc<Member>) {
        if member.name == self.own.name || self.members.get(&member.name) == Some(&member) {
            return;
        }
        self.remove(&member.name);
        insert_sorted(self.zones.entry(member.zone.clone()).or_default(), &member.name);
        if member.region != self.own.region {
            insert_sorted(&mut self.far, &member.name);
        } else if member.zone != self.own.zone {
            insert_sorted(&mut self.region, &member.name);
        }
        if member.voter {
            insert_sorted(&mut self.voters, &member.name);
        }
        self.members.insert(member.name.clone(), member);
    }

    /// Removes a server that is down.
    pub fn remove(&mut self, name: &str) {
        let Some(member) = self.members.remove(name) else { return };
        if let Some(zone) = self.zones.get_mut(&member.zone) {
            remove_sorted(zone, name);
            if zone.is_empty() {
                self.zones.remove(&member.zone);
            }
        }
        [&mut self.region, &mut self.far, &mut self.voters]
            .into_iter()
            .for_each(|list| remove_sorted(list, name));
    }

    /// How far away a server is. An unknown server counts as far.
    pub fn distance(&self, name: &str) -> Distance {
        match self.members.get(name) {
            Some(member) if member.zone == self.own.zone => Distance::Zone,
            Some(member) if member.region == self.own.region => Distance::Region,
            _ => Distance::Far,
        }
    }

    /// Whether a server is a member of the consensus group.
    pub fn is_voter(&self, name: &str) -> bool {
        self.voters.binary_search_by(|voter| voter.as_ref().cmp(name)).is_ok()
    }

    fn zone_members(&self, zone: &str) -> &[Name] {
        self.zones.get(zone).map_or(&[], Vec::as_slice)
    }

    fn relays(&self, zone: &str) -> &[Name] {
        let members = self.zone_members(zone);
        &members[..members.len().min(RELAYS_PER_ZONE)]
    }

    /// Whether this server is a relay of its zone.
    fn is_relay(&self) -> bool {
        self.relays(&self.own.zone).contains(&self.own.name)
    }

    /// Adds up to `count` random names of `list` to `chosen`, excluding this server and duplicates.
    fn draw(&self, rng: &mut Pcg64Mcg, list: &[Name], count: usize, chosen: &mut Vec<Name>) {
        let candidates = list.iter().filter(|name| **name != self.own.name).count();
        let wanted = chosen.len() + count.min(candidates);
        // Usually a few of many names are drawn, so few draws are duplicates.
        for _ in 0..MAX_DRAWS_PER_PEER * count {
            if chosen.len() >= wanted {
                return;
            }
            let name = &list[random_below(rng, list.len())];
            if *name != self.own.name && !chosen.contains(name) {
                chosen.push(name.clone());
            }
        }
    }

    /// The peers to send the next advert to.
    pub fn advert_targets(&self, settings: &DisseminationSettings, rng: &mut Pcg64Mcg) -> Vec<Name> {
        let mut chosen = Vec::new();
        match settings.selection {
            Selection::Epidemic => {
                self.draw(rng, self.zone_members(&self.own.zone), 1, &mut chosen);
                let is_alone_in_zone = chosen.is_empty();
                if is_alone_in_zone || random_below(rng, settings.adverts_per_region_advert as usize) == 0 {
                    self.draw(rng, &self.region, 1, &mut chosen);
                }
                if chosen.is_empty() || random_below(rng, settings.adverts_per_far_advert as usize) == 0 {
                    self.draw(rng, &self.far, 1, &mut chosen);
                }
            }
            Selection::Relays if self.is_relay() => self.draw(rng, &self.voters, 1, &mut chosen),
            Selection::Relays => self.draw(rng, self.relays(&self.own.zone), 1, &mut chosen),
            Selection::Voters => self.draw(rng, &self.voters, 1, &mut chosen),
        }
        chosen
    }

    /// The peers to push new commits to, in random order. `is_origin` is set if this server is a voter, which receives commits from
    /// the consensus group; only voters push to other zones.
    pub fn push_targets(
        &self,
        settings: &DisseminationSettings,
        is_origin: bool,
        rng: &mut Pcg64Mcg,
    ) -> Vec<Name> {
        let mut chosen = Vec::new();
        if settings.selection == Selection::Voters {
            return chosen;
        }
        let uses_relays = settings.selection == Selection::Relays;
        if is_origin {
            let rank = self.voters.iter().position(|voter| *voter == self.own.name).unwrap_or(0);
            let others = self.zones.iter().enumerate().filter(|(_, (zone, _))| **zone != self.own.zone);
            for (_, (zone, names)) in others.filter(|(index, _)| index % self.voters.len().max(1) == rank) {
                let list = if uses_relays { self.relays(zone) } else { names };
                self.draw(rng, list, settings.push_peers_per_other_zone, &mut chosen);
            }
        }
        let zone = self.zone_members(&self.own.zone);
        match uses_relays {
            false => self.draw(rng, zone, settings.push_peers_in_zone, &mut chosen),
            true if self.is_relay() => {
                chosen.extend(zone.iter().filter(|name| **name != self.own.name).cloned());
            }
            true if is_origin => self.draw(rng, self.relays(&self.own.zone), RELAYS_PER_ZONE, &mut chosen),
            true => {}
        }
        // The byte budget may be used up before the last peer. The random order avoids that the same zone is always last.
        for last in (1..chosen.len()).rev() {
            chosen.swap(last, random_below(rng, last + 1));
        }
        chosen
    }

    /// Up to `count` random peers of the same zone.
    pub fn zone_peers(&self, rng: &mut Pcg64Mcg, count: usize) -> Vec<Name> {
        let mut chosen = Vec::new();
        self.draw(rng, self.zone_members(&self.own.zone), count, &mut chosen);
        chosen
    }

    /// Random peers to fetch a snapshot from, nearest first: some of the zone, of the region, of other regions, and some voters.
    pub fn snapshot_peers(&self, settings: &DisseminationSettings, rng: &mut Pcg64Mcg) -> Vec<Name> {
        let mut chosen = Vec::new();
        if settings.selection != Selection::Voters {
            self.draw(rng, self.zone_members(&self.own.zone), SNAPSHOT_ZONE_PEERS, &mut chosen);
            self.draw(rng, &self.region, SNAPSHOT_REGION_PEERS, &mut chosen);
            self.draw(rng, &self.far, SNAPSHOT_FAR_PEERS, &mut chosen);
        }
        self.draw(rng, &self.voters, SNAPSHOT_VOTERS, &mut chosen);
        chosen
    }

    /// Whether the selection allows fetching commits from a server.
    pub fn may_fetch(&self, settings: &DisseminationSettings, name: &str) -> bool {
        match settings.selection {
            Selection::Epidemic => true,
            Selection::Voters => self.is_voter(name),
            Selection::Relays => {
                let is_relay_of_zone = self.relays(&self.own.zone).iter().any(|relay| relay.as_ref() == name);
                is_relay_of_zone || self.is_voter(name)
            }
        }
    }
}
