//! Failure detection, merging of a partitioned fleet, and incarnations, on a simulated network.

use super::*;

fn peer(n: u16, incarnation: u64) -> Peer {
    let address = SocketAddr::from(([127, 0, 0, 1], n));
    Peer {
        name: Arc::from(format!("n{n}")),
        incarnation: Incarnation(incarnation),
        address,
        zone: Arc::from("z"),
    }
}

/// Members on a simulated network that runs in steps of 10 ms and drops the datagrams between given pairs.
struct Network {
    members: Vec<Members>,
    now: Time,
    /// Whether each member's process is stopped.
    stopped: Vec<bool>,
    changes: Vec<(usize, Time, MembershipChange)>,
    /// Datagrams that each member has not read yet.
    unread: Vec<Vec<Vec<u8>>>,
}

impl Network {
    fn new(n: u16) -> Self {
        let seeds = vec![peer(1, 0).address, peer(2, 0).address];
        let now = Time(0);
        let failure_detection = FailureDetection::default();
        let all =
            (1..=n).map(|n| Members::new(peer(n, 5), seeds.clone(), &failure_detection, u64::from(n), now));
        let all: Vec<Members> = all.collect();
        let (stopped, unread) = (vec![false; all.len()], vec![Vec::new(); all.len()]);
        Self { members: all, now, stopped, changes: Vec::new(), unread }
    }

    /// Runs for this time; `is_cut` tells whether datagrams from one member to another are lost.
    fn run(&mut self, ms: u64, is_cut: impl Fn(usize, usize) -> bool) {
        for _ in 0..ms / 10 {
            self.now = time_after(self.now, Span(10 * MS));
            for n in 0..self.members.len() {
                if self.stopped[n] {
                    continue;
                }
                for data in std::mem::take(&mut self.unread[n]) {
                    let _ = self.members[n].receive(self.now, &data);
                }
                if self.members[n].wake_at(self.now) <= self.now {
                    self.members[n].step(self.now);
                }
                let changes = self.members[n].changes();
                self.changes.extend(changes.into_iter().map(|change| (n, self.now, change)));
                for (to, data) in self.members[n].sends() {
                    let to = usize::from(to.address.port()) - 1;
                    if to < self.members.len() && !is_cut(n, to) {
                        self.unread[to].push(data);
                    }
                }
            }
        }
    }

    /// Members that were reported down, each with the reporting member.
    fn reported_down(&self) -> Vec<(usize, &str)> {
        let reports = self.changes.iter().filter_map(|(n, _, change)| match change {
            MembershipChange::Down(peer) => Some((*n, &*peer.name)),
            _ => None,
        });
        reports.collect()
    }
}

#[test]
fn members_join_by_seeds_and_a_dead_member_is_detected() {
    let mut network = Network::new(8);
    network.run(4_000, |_, _| false);
    assert!(network.members.iter().all(|members| members.up_count() == 7));
    network.stopped[4] = true;
    network.run(14_000, |_, _| false);
    assert!(network.members.iter().enumerate().all(|(n, members)| n == 4 || members.up_count() == 6));
    assert!(network.members[0].find("n5").is_some_and(|known| !known.up));
}

/// A process that was stopped finds its timers overdue, but must not suspect other members because of it:
/// only the stopped member is declared dead, and it rejoins soon.
#[test]
fn a_process_that_was_stopped_suspects_no_other_member_and_rejoins() {
    let mut network = Network::new(8);
    network.run(4_000, |_, _| false);
    network.stopped[3] = true;
    network.run(20_000, |_, _| false);
    network.stopped[3] = false;
    network.run(8_200, |_, _| false);
    assert!(network.reported_down().iter().all(|(_, name)| *name == "n4"), "{:?}", network.reported_down());
    assert!(network.members.iter().all(|members| members.up_count() == 7));
    let is_pause_reported = network.changes.iter().any(
        |(n, _, change)| matches!(change, MembershipChange::Paused(span) if *n == 3 && span.0 > 19_000 * MS),
    );
    assert!(is_pause_reported);
}

/// A process is stopped while it suspects a member, and the member's refutation is lost because the socket of
/// the stopped process is full. When the process resumes, the suspicion timeout is over by the real clock,
/// but the member must not be declared dead.
#[test]
fn a_suspicion_from_before_a_stop_declares_no_live_member_dead_after_it() {
    for seed in 0..20 {
        let mut network = Network::new(8);
        network.run(4_000 + seed * 130, |_, _| false);
        // All members suspect n6, which is cut off in both directions.
        network.run(2_600, |from, to| from == 5 || to == 5);
        network.stopped[3] = true;
        network.run(20_000, |_, _| false);
        network.stopped[3] = false;
        network.unread[3].clear();
        network.changes.clear();
        network.run(8_000, |_, _| false);
        let wrong: Vec<_> =
            network.reported_down().into_iter().filter(|(n, name)| *n == 3 || *name != "n4").collect();
        assert!(wrong.is_empty(), "seed {seed}: {wrong:?}");
        assert!(network.members.iter().all(|members| members.up_count() == 7), "seed {seed}");
    }
}

/// After a partition in which each half declared the other dead, the two halves merge again.
#[test]
fn two_halves_of_a_fleet_merge_after_a_partition() {
    let mut network = Network::new(8);
    network.run(4_000, |_, _| false);
    network.run(60_000, |from, to| (from < 4) != (to < 4));
    assert!(network.members.iter().all(|members| members.up_count() == 3));
    network.run(5_000, |_, _| false);
    let counts: Vec<usize> = network.members.iter().map(Members::up_count).collect();
    assert_eq!(counts, [7; 8]);
}

/// If the wall clock is set back before a restart, the new incarnation is less than the old one and must be
/// raised above it.
#[test]
fn an_incarnation_below_the_last_known_one_is_raised_above_it() {
    let mut network = Network::new(4);
    network.run(4_000, |_, _| false);
    let failure_detection = FailureDetection::default();
    network.members[2] =
        Members::new(peer(3, 2), vec![peer(1, 0).address], &failure_detection, 9, network.now);
    network.members[2].raise_incarnation(network.now, Incarnation(5));
    assert_eq!(network.members[2].own().incarnation, Incarnation(6));
    network.members[2].raise_incarnation(network.now, Incarnation(3));
    assert_eq!(
        network.members[2].own().incarnation,
        Incarnation(6),
        "a lower known incarnation changes nothing"
    );
    network.run(3_000, |_, _| false);
    assert_eq!(network.members[0].find("n3").map(|known| known.peer.incarnation), Some(Incarnation(6)));
    assert!(network.members.iter().all(|members| members.up_count() == 3));
}

/// Late news of an earlier incarnation must not mark a server as dead or restore its former address.
#[test]
fn late_news_of_an_earlier_incarnation_dont_change_a_later_one() {
    let mut network = Network::new(1);
    let members = &mut network.members[0];
    let (earlier, later) = (Peer { address: peer(9, 0).address, ..peer(3, 5) }, peer(3, 6));
    members.update_known_member(Time(1), earlier.clone(), true);
    members.update_known_member(Time(2), later.clone(), true);
    members.update_known_member(Time(3), earlier.clone(), false);
    members.update_known_member(Time(4), earlier, true);
    let known = members.find("n3").expect("n3 is known");
    assert!(known.up);
    assert_eq!((known.peer.incarnation, known.peer.address), (Incarnation(6), later.address));
    members.update_known_member(Time(5), later, false);
    assert!(members.find("n3").is_some_and(|known| !known.up));
}
