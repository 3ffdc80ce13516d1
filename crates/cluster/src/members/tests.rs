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

/// Some members on a network that loses what it is told to, in steps of 10 ms.
struct World {
    members: Vec<Members>,
    now: Time,
    stopped: Vec<bool>,
    changes: Vec<(usize, Time, MembershipChange)>,
    waiting: Vec<Vec<Vec<u8>>>,
}

impl World {
    fn new(n: u16) -> Self {
        let seeds = vec![peer(1, 0).address, peer(2, 0).address];
        let now = Time(0);
        let failure_detection = FailureDetection::default();
        let all =
            (1..=n).map(|n| Members::new(peer(n, 5), seeds.clone(), &failure_detection, u64::from(n), now));
        let all: Vec<Members> = all.collect();
        let (stopped, waiting) = (vec![false; all.len()], vec![Vec::new(); all.len()]);
        Self { members: all, now, stopped, changes: Vec::new(), waiting }
    }

    fn run(&mut self, ms: u64, cut: impl Fn(usize, usize) -> bool) {
        for _ in 0..ms / 10 {
            self.now = time_after(self.now, Span(10 * MS));
            for n in 0..self.members.len() {
                if self.stopped[n] {
                    continue;
                }
                for data in std::mem::take(&mut self.waiting[n]) {
                    let _ = self.members[n].receive(self.now, &data);
                }
                if self.members[n].wake_at(self.now) <= self.now {
                    self.members[n].step(self.now);
                }
                let changes = self.members[n].changes();
                self.changes.extend(changes.into_iter().map(|change| (n, self.now, change)));
                for (to, data) in self.members[n].sends() {
                    let to = usize::from(to.address.port()) - 1;
                    if to < self.members.len() && !cut(n, to) {
                        self.waiting[to].push(data);
                    }
                }
            }
        }
    }

    fn downs(&self) -> Vec<(usize, &str)> {
        let downs = self.changes.iter().filter_map(|(n, _, change)| match change {
            MembershipChange::Down(peer) => Some((*n, &*peer.name)),
            _ => None,
        });
        downs.collect()
    }
}

#[test]
fn all_find_each_other_by_seeds_and_a_dead_one_is_noticed() {
    let mut world = World::new(8);
    world.run(4_000, |_, _| false);
    assert!(world.members.iter().all(|members| members.up_count() == 7));
    world.stopped[4] = true;
    world.run(14_000, |_, _| false);
    assert!(world.members.iter().enumerate().all(|(n, members)| n == 4 || members.up_count() == 6));
    assert!(world.members[0].find("n5").is_some_and(|known| !known.up));
}

/// Guards against a process that was stopped and then, by its overdue timers, suspects all others: nobody but the
/// stopped one may be believed dead, and it is back soon.
#[test]
fn who_was_stopped_doubts_itself_before_others() {
    let mut world = World::new(8);
    world.run(4_000, |_, _| false);
    world.stopped[3] = true;
    world.run(20_000, |_, _| false);
    world.stopped[3] = false;
    world.run(8_200, |_, _| false);
    assert!(world.downs().iter().all(|(_, name)| *name == "n4"), "{:?}", world.downs());
    assert!(world.members.iter().all(|members| members.up_count() == 7));
    let slept = world.changes.iter().any(
        |(n, _, change)| matches!(change, MembershipChange::Paused(span) if *n == 3 && span.0 > 19_000 * MS),
    );
    assert!(slept);
}

/// Guards against a suspicion that a stopped process took with it: the suspect has said long ago that it is alive, but what
/// it said found no room in the stopped one's socket, and by the clock its time to say so is over. Nobody who is alive is
/// held dead for it.
#[test]
fn a_suspicion_from_before_a_stop_is_no_death_after_it() {
    for seed in 0..20 {
        let mut world = World::new(8);
        world.run(4_000 + seed * 130, |_, _| false);
        // All suspect n6, which hears nothing and is not heard.
        world.run(2_600, |from, to| from == 5 || to == 5);
        world.stopped[3] = true;
        world.run(20_000, |_, _| false);
        world.stopped[3] = false;
        world.waiting[3].clear();
        world.changes.clear();
        world.run(8_000, |_, _| false);
        let wrong: Vec<_> = world.downs().into_iter().filter(|(n, name)| *n == 3 || *name != "n4").collect();
        assert!(wrong.is_empty(), "seed {seed}: {wrong:?}");
        assert!(world.members.iter().all(|members| members.up_count() == 7), "seed {seed}");
    }
}

/// Guards against two halves that each hold the other dead for ever.
#[test]
fn two_halves_find_back_together() {
    let mut world = World::new(8);
    world.run(4_000, |_, _| false);
    world.run(60_000, |from, to| (from < 4) != (to < 4));
    assert!(world.members.iter().all(|members| members.up_count() == 3));
    world.run(5_000, |_, _| false);
    let counts: Vec<usize> = world.members.iter().map(Members::up_count).collect();
    assert_eq!(counts, [7; 8]);
}

/// Guards against a machine whose wall clock was set back before a restart: its new incarnation is less than the old one.
#[test]
fn a_life_less_than_the_last_one_is_raised() {
    let mut world = World::new(4);
    world.run(4_000, |_, _| false);
    let failure_detection = FailureDetection::default();
    world.members[2] = Members::new(peer(3, 2), vec![peer(1, 0).address], &failure_detection, 9, world.now);
    world.members[2].raise_incarnation(world.now, Incarnation(5));
    assert_eq!(world.members[2].own().incarnation, Incarnation(6));
    world.members[2].raise_incarnation(world.now, Incarnation(3));
    assert_eq!(world.members[2].own().incarnation, Incarnation(6), "a lesser one raises nothing");
    world.run(3_000, |_, _| false);
    assert_eq!(world.members[0].find("n3").map(|known| known.peer.incarnation), Some(Incarnation(6)));
    assert!(world.members.iter().all(|members| members.up_count() == 3));
}

/// Guards against a server taken for dead, or reached at an address that is not its own any more, because news of its
/// earlier incarnation come late: what is known of the past is the last incarnation alone.
#[test]
fn late_news_of_an_earlier_life_change_nothing_of_a_later_one() {
    let mut world = World::new(1);
    let members = &mut world.members[0];
    let (early, late) = (Peer { address: peer(9, 0).address, ..peer(3, 5) }, peer(3, 6));
    members.set_up(Time(1), early.clone(), true);
    members.set_up(Time(2), late.clone(), true);
    members.set_up(Time(3), early.clone(), false);
    members.set_up(Time(4), early, true);
    let known = members.find("n3").expect("it is there");
    assert!(known.up);
    assert_eq!((known.peer.incarnation, known.peer.address), (Incarnation(6), late.address));
    members.set_up(Time(5), late, false);
    assert!(members.find("n3").is_some_and(|known| !known.up));
}
