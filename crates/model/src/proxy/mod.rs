//! What a client proxy decides: which server of its list a try goes to, and whether there is another try. Without I/O; the
//! world carries it out.

use crate::queue::At;
use crate::scenario::{Pick, ProxySpec, RetryPolicy};
use crate::streams::{chance, one_of, shuffle};
use rand_pcg::Pcg64Mcg;
use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// The part of what a fast server took that the next answer changes.
const SMOOTH: f64 = 0.2;
/// Tries at random, so that a server that was slow once is not left for ever.
const EXPLORE: f64 = 0.1;
/// Further tries that a budget may save up.
const SAVED: f64 = 10.0;
/// A level counts for so long after the answer that told it.
const LEVEL_HOLDS: At = 1_000_000_000;

/// What a client proxy knows of a server.
#[derive(Debug, Clone, Copy, Default)]
struct Known {
    listed: bool,
    open: u32,
    away_until: At,
    level: f64,
    level_until: At,
    /// Milliseconds that it took of late.
    took: f64,
    weight: f64,
    /// For choosing by weights.
    credit: f64,
}

/// What a try is for.
#[derive(Debug, Clone, Copy)]
pub struct Wanted<'a> {
    /// Its rank.
    pub rank: f64,
    /// What it is hashed by.
    pub key: u64,
    /// Servers that it was sent to already.
    pub tried: &'a [u32],
}

/// Where a try goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// To this server.
    Server(u32),
    /// All that are left are to be stayed away from, until then.
    Away(At),
    /// All that are left take nothing of this rank.
    Level,
    /// None is left on the list.
    Nobody,
}

/// Why a try came to nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Loss {
    /// Turned away; whether with the wish that no other server be tried.
    Refused {
        /// See above.
        last: bool,
    },
    /// Failed, timed out, or its connection was reset.
    Failed,
    /// No connection: it proves that nothing ran.
    Unreached,
}

/// What comes after a try that came to nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// Another one, so much later.
    Again(At),
    /// None.
    GiveUp,
}

/// A client proxy.
#[derive(Debug)]
pub struct Proxy {
    /// What it is like.
    pub spec: ProxySpec,
    known: Vec<Known>,
    /// Servers that it keeps to, in its own order, and those of them that are listed.
    own: Vec<u32>,
    listed: Vec<u32>,
    turn: usize,
    saved: f64,
    rng: Pcg64Mcg,
}

impl Proxy {
    /// One that knows these servers by their weights; none is listed yet.
    pub fn new(spec: ProxySpec, weights: &[f64], mut rng: Pcg64Mcg) -> Self {
        let mut own: Vec<u32> = (0..weights.len() as u32).collect();
        shuffle(&mut rng, &mut own);
        if spec.subset > 0 {
            own.truncate(spec.subset);
        }
        let known = weights.iter().map(|&weight| Known { weight, ..Known::default() }).collect();
        Self {
            turn: one_of(&mut rng, own.len().max(1)),
            spec,
            known,
            own,
            listed: Vec::new(),
            saved: SAVED,
            rng,
        }
    }

    /// Its habit.
    pub fn retry_policy(&self) -> &RetryPolicy {
        &self.spec.retry_policy
    }

    /// The list now has a server, or no longer.
    pub fn list(&mut self, server: u32, listed: bool) {
        self.known[server as usize].listed = listed;
        self.listed = self.own.iter().copied().filter(|&s| self.known[s as usize].listed).collect();
    }

    /// Whether it lists a server.
    pub fn lists(&self, server: u32) -> bool {
        self.known[server as usize].listed
    }

    /// Whether it lists any server but these.
    pub fn any_but(&self, tried: &[u32]) -> bool {
        self.listed.iter().any(|server| !tried.contains(server))
    }

    /// A try goes to a server, or one that went is over.
    pub fn opened(&mut self, server: u32, change: i32) {
        let known = &mut self.known[server as usize];
        known.open = known.open.saturating_add_signed(change);
    }

    /// A server has answered with its level, if it told one, so many milliseconds after the try was sent.
    pub fn heard(&mut self, now: At, server: u32, level: Option<f64>, took_ms: f64, served: bool) {
        let respects_advice = self.spec.respects_advice;
        let known = &mut self.known[server as usize];
        if let Some(level) = level.filter(|_| respects_advice) {
            (known.level, known.level_until) = (level, now + LEVEL_HOLDS);
        }
        if served {
            known.took =
                if known.took == 0.0 { took_ms } else { known.took + SMOOTH * (took_ms - known.took) };
        }
    }

    /// A server asks to stay away until then.
    pub fn stay_away(&mut self, server: u32, until: At) {
        if self.spec.respects_advice {
            let known = &mut self.known[server as usize];
            known.away_until = known.away_until.max(until);
        }
    }

    /// A first try has come: a budget for further ones grows.
    pub fn first_try(&mut self) {
        if let Some(budget) = self.spec.retry_policy.budget {
            self.saved = (self.saved + budget).min(SAVED);
        }
    }

    /// Whether a server may be sent a request: 0 if so, else why not.
    fn bars(&self, now: At, server: u32, wanted: Wanted<'_>) -> Option<Choice> {
        let known = &self.known[server as usize];
        if wanted.tried.contains(&server) {
            Some(Choice::Nobody)
        } else if known.away_until > now {
            Some(Choice::Away(known.away_until))
        } else if known.level_until > now && known.level > wanted.rank {
            Some(Choice::Level)
        } else {
            None
        }
    }

    /// Where the next try of a request goes.
    pub fn choose(&mut self, now: At, wanted: Wanted<'_>) -> Choice {
        let count = self.listed.len();
        if count == 0 {
            return Choice::Nobody;
        }
        let start = self.turn % count;
        let listed = std::mem::take(&mut self.listed);
        let open = |place: usize| {
            let at = start + place;
            listed[if at < count { at } else { (at - count) % count }]
        };
        let free = |proxy: &Self, server: u32| proxy.bars(now, server, wanted).is_none();
        let chosen = match self.spec.retry_policy.pick {
            Pick::Round => (0..count).map(open).find(|&server| free(self, server)),
            Pick::Two => {
                // Two at random; where neither will do, whichever comes next.
                let two = [one_of(&mut self.rng, count), one_of(&mut self.rng, count)];
                let two = two.into_iter().map(open).filter(|&server| free(self, server));
                let fewer = two.min_by_key(|&server| self.known[server as usize].open);
                fewer.or_else(|| (0..count).map(open).find(|&server| free(self, server)))
            }
            Pick::Least => (0..count)
                .map(open)
                .filter(|&server| free(self, server))
                .min_by_key(|&server| self.known[server as usize].open),
            Pick::Fastest if chance(&mut self.rng, EXPLORE) => {
                let at = one_of(&mut self.rng, count);
                (0..count).map(|place| open(place + at)).find(|&server| free(self, server))
            }
            Pick::Fastest => (0..count)
                .map(open)
                .filter(|&server| free(self, server))
                .min_by(|&a, &b| self.known[a as usize].took.total_cmp(&self.known[b as usize].took)),
            Pick::Hash => (0..count)
                .map(open)
                .filter(|&server| free(self, server))
                .max_by_key(|&server| rendezvous(wanted.key, server)),
            Pick::Weighted => {
                // Smooth weighted round robin: all gain their weight, the richest pays for all.
                let (mut total, mut richest) = (0.0, None::<(f64, u32)>);
                for server in (0..count).map(open) {
                    if self.bars(now, server, wanted).is_some() {
                        continue;
                    }
                    let known = &mut self.known[server as usize];
                    known.credit += known.weight;
                    total += known.weight;
                    if richest.is_none_or(|(credit, _)| known.credit > credit) {
                        richest = Some((known.credit, server));
                    }
                }
                richest.map(|(_, server)| {
                    self.known[server as usize].credit -= total;
                    server
                })
            }
        };
        let choice = match chosen {
            Some(server) => Choice::Server(server),
            None => listed
                .iter()
                .filter_map(|&server| self.bars(now, server, wanted))
                .min_by_key(|bar| match bar {
                    Choice::Away(until) => (0, *until),
                    Choice::Level => (1, 0),
                    _ => (2, 0),
                })
                .unwrap_or(Choice::Nobody),
        };
        if let Choice::Server(server) = choice
            && let Some(place) = listed.iter().position(|&other| other == server)
        {
            self.turn = place + 1;
        }
        self.listed = listed;
        choice
    }

    /// Whether there is another try after one that came to nothing; `failures` counts those of this request that failed.
    pub fn next(&mut self, loss: Loss, failures: u32) -> Next {
        let retry_policy = &self.spec.retry_policy;
        let pause = (retry_policy.backoff_ms * 1e6) as At;
        let next = match loss {
            Loss::Refused { last } if last && self.spec.respects_advice => Next::GiveUp,
            Loss::Refused { .. } if retry_policy.walks => Next::Again(0),
            Loss::Refused { .. } => Next::GiveUp,
            // Nothing ran: the next on the list, as any proxy does.
            Loss::Unreached => return Next::Again(0),
            Loss::Failed if failures <= retry_policy.retries => Next::Again(pause),
            Loss::Failed => Next::GiveUp,
        };
        if next == Next::GiveUp || retry_policy.budget.is_none() {
            return next;
        }
        if self.saved < 1.0 {
            return Next::GiveUp;
        }
        self.saved -= 1.0;
        next
    }
}

fn rendezvous(key: u64, server: u32) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(key, 11);
    hasher.write_u32(server);
    hasher.finish()
}

#[cfg(test)]
mod tests;
