//! Decisions of a client proxy: the server of each attempt, and whether a failed attempt is retried. There is no I/O;
//! the world carries out the decisions.

use crate::queue::At;
use crate::scenario::{Pick, ProxySpec, RetryPolicy};
use crate::streams::{chance, one_of, shuffle};
use rand_pcg::Pcg64Mcg;
use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// Weight of the latest answer in the moving average of a server's latency.
const LATENCY_SMOOTHING: f64 = 0.2;
/// Fraction of attempts sent to a random server, so that a server that was slow once is not avoided forever.
const RANDOM_PICK_FRACTION: f64 = 0.1;
/// Largest number of retries that a retry budget can accumulate.
const MAX_RETRY_CREDIT: f64 = 10.0;
/// Lifetime of a precedence threshold in nanoseconds after the answer that carried it.
const THRESHOLD_LIFETIME: At = 1_000_000_000;

/// State of a server as the client proxy knows it.
#[derive(Debug, Clone, Copy, Default)]
struct ServerState {
    listed: bool,
    open: u32,
    away_until: At,
    threshold: f64,
    threshold_until: At,
    /// Moving average of the latency in milliseconds.
    latency_ms: f64,
    weight: f64,
    /// Current weight in the smooth weighted round robin.
    credit: f64,
}

/// An attempt for which a server is chosen.
#[derive(Debug, Clone, Copy)]
pub struct AttemptQuery<'a> {
    /// Precedence of the request, from 0 to 1.
    pub rank: f64,
    /// Key for rendezvous hashing.
    pub key: u64,
    /// Servers that the request was already sent to.
    pub tried_servers: &'a [u32],
}

/// Result of choosing a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// Send the attempt to this server.
    Server(u32),
    /// Every remaining server asked for a Retry-After; the earliest one ends at this time.
    RetryAfter(At),
    /// Every remaining server has a precedence threshold above the request's.
    BelowThreshold,
    /// No server is left on the list.
    NoServer,
}

/// Reason why an attempt brought no result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// Rejected by the server.
    Refused {
        /// The server asked not to fail over to another server.
        no_failover: bool,
    },
    /// Failed, timed out, or the connection was reset.
    Failed,
    /// No connection was made, which proves that nothing ran.
    NotConnected,
}

/// What follows an attempt without a result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// A retry after this many nanoseconds.
    Again(At),
    /// The request is given up.
    GiveUp,
}

/// A client proxy.
#[derive(Debug)]
pub struct Proxy {
    /// Its parameters.
    pub spec: ProxySpec,
    servers: Vec<ServerState>,
    /// Subset of servers that it uses, in an order of its own, and those of them that are listed.
    subset: Vec<u32>,
    listed: Vec<u32>,
    next_index: usize,
    retry_credit: f64,
    rng: Pcg64Mcg,
}

impl Proxy {
    /// Creates a client proxy that knows the servers' weights; no server is listed yet.
    pub fn new(spec: ProxySpec, weights: &[f64], mut rng: Pcg64Mcg) -> Self {
        let mut subset: Vec<u32> = (0..weights.len() as u32).collect();
        shuffle(&mut rng, &mut subset);
        if spec.subset > 0 {
            subset.truncate(spec.subset);
        }
        let servers =
            weights.iter().map(|&weight| ServerState { weight, ..ServerState::default() }).collect();
        Self {
            next_index: one_of(&mut rng, subset.len().max(1)),
            spec,
            servers,
            subset,
            listed: Vec::new(),
            retry_credit: MAX_RETRY_CREDIT,
            rng,
        }
    }

    /// The policy by which it picks servers and retries.
    pub fn retry_policy(&self) -> &RetryPolicy {
        &self.spec.retry_policy
    }

    /// Updates whether a server is on the list.
    pub fn list(&mut self, server: u32, listed: bool) {
        self.servers[server as usize].listed = listed;
        self.listed = self.subset.iter().copied().filter(|&s| self.servers[s as usize].listed).collect();
    }

    /// Whether a server is on the list.
    pub fn lists(&self, server: u32) -> bool {
        self.servers[server as usize].listed
    }

    /// Whether a server other than these is on the list.
    pub fn lists_other_than(&self, tried_servers: &[u32]) -> bool {
        self.listed.iter().any(|server| !tried_servers.contains(server))
    }

    /// Changes the number of open attempts at a server.
    pub fn opened(&mut self, server: u32, change: i32) {
        let state = &mut self.servers[server as usize];
        state.open = state.open.saturating_add_signed(change);
    }

    /// Records an answer: the server's precedence threshold, if it sent one, and the latency of a served request.
    pub fn record_answer(
        &mut self,
        now: At,
        server: u32,
        threshold: Option<f64>,
        took_ms: f64,
        served: bool,
    ) {
        let respects_advice = self.spec.respects_advice;
        let state = &mut self.servers[server as usize];
        if let Some(threshold) = threshold.filter(|_| respects_advice) {
            (state.threshold, state.threshold_until) = (threshold, now + THRESHOLD_LIFETIME);
        }
        if served {
            state.latency_ms = if state.latency_ms == 0.0 {
                took_ms
            } else {
                state.latency_ms + LATENCY_SMOOTHING * (took_ms - state.latency_ms)
            };
        }
    }

    /// Records a Retry-After that ends at `until`.
    pub fn stay_away(&mut self, server: u32, until: At) {
        if self.spec.respects_advice {
            let state = &mut self.servers[server as usize];
            state.away_until = state.away_until.max(until);
        }
    }

    /// Adds the credit for retries that a first attempt earns.
    pub fn earn_retry_credit(&mut self) {
        if let Some(budget) = self.spec.retry_policy.budget {
            self.retry_credit = (self.retry_credit + budget).min(MAX_RETRY_CREDIT);
        }
    }

    /// Reason why an attempt can't go to a server; `None` if it can.
    fn obstacle(&self, now: At, server: u32, query: AttemptQuery<'_>) -> Option<Choice> {
        let state = &self.servers[server as usize];
        if query.tried_servers.contains(&server) {
            Some(Choice::NoServer)
        } else if state.away_until > now {
            Some(Choice::RetryAfter(state.away_until))
        } else if state.threshold_until > now && state.threshold > query.rank {
            Some(Choice::BelowThreshold)
        } else {
            None
        }
    }

    /// Chooses the server of the next attempt.
    pub fn choose(&mut self, now: At, query: AttemptQuery<'_>) -> Choice {
        let count = self.listed.len();
        if count == 0 {
            return Choice::NoServer;
        }
        let start = self.next_index % count;
        let listed = std::mem::take(&mut self.listed);
        let open = |place: usize| {
            let at = start + place;
            listed[if at < count { at } else { (at - count) % count }]
        };
        let free = |proxy: &Self, server: u32| proxy.obstacle(now, server, query).is_none();
        let chosen = match self.spec.retry_policy.pick {
            Pick::Round => (0..count).map(open).find(|&server| free(self, server)),
            Pick::Two => {
                // Two random servers; if neither is usable, the next one that is.
                let two = [one_of(&mut self.rng, count), one_of(&mut self.rng, count)];
                let two = two.into_iter().map(open).filter(|&server| free(self, server));
                let fewer = two.min_by_key(|&server| self.servers[server as usize].open);
                fewer.or_else(|| (0..count).map(open).find(|&server| free(self, server)))
            }
            Pick::Least => (0..count)
                .map(open)
                .filter(|&server| free(self, server))
                .min_by_key(|&server| self.servers[server as usize].open),
            Pick::Fastest if chance(&mut self.rng, RANDOM_PICK_FRACTION) => {
                let at = one_of(&mut self.rng, count);
                (0..count).map(|place| open(place + at)).find(|&server| free(self, server))
            }
            Pick::Fastest => (0..count).map(open).filter(|&server| free(self, server)).min_by(|&a, &b| {
                self.servers[a as usize].latency_ms.total_cmp(&self.servers[b as usize].latency_ms)
            }),
            Pick::Hash => (0..count)
                .map(open)
                .filter(|&server| free(self, server))
                .max_by_key(|&server| rendezvous(query.key, server)),
            Pick::Weighted => {
                // Smooth weighted round robin: every server gains its weight, the chosen one pays the
                // total.
                let (mut total, mut richest) = (0.0, None::<(f64, u32)>);
                for server in (0..count).map(open) {
                    if self.obstacle(now, server, query).is_some() {
                        continue;
                    }
                    let state = &mut self.servers[server as usize];
                    state.credit += state.weight;
                    total += state.weight;
                    if richest.is_none_or(|(credit, _)| state.credit > credit) {
                        richest = Some((state.credit, server));
                    }
                }
                richest.map(|(_, server)| {
                    self.servers[server as usize].credit -= total;
                    server
                })
            }
        };
        let choice = match chosen {
            Some(server) => Choice::Server(server),
            None => listed
                .iter()
                .filter_map(|&server| self.obstacle(now, server, query))
                .min_by_key(|bar| match bar {
                    Choice::RetryAfter(until) => (0, *until),
                    Choice::BelowThreshold => (1, 0),
                    _ => (2, 0),
                })
                .unwrap_or(Choice::NoServer),
        };
        if let Choice::Server(server) = choice
            && let Some(place) = listed.iter().position(|&other| other == server)
        {
            self.next_index = place + 1;
        }
        self.listed = listed;
        choice
    }

    /// Decides whether a request is retried; `failures` is the number of its attempts that failed.
    pub fn next(&mut self, loss: Failure, failures: u32) -> Next {
        let retry_policy = &self.spec.retry_policy;
        let pause = (retry_policy.backoff_ms * 1e6) as At;
        let next = match loss {
            Failure::Refused { no_failover } if no_failover && self.spec.respects_advice => Next::GiveUp,
            Failure::Refused { .. } if retry_policy.walks => Next::Again(0),
            Failure::Refused { .. } => Next::GiveUp,
            // Nothing ran, so the next server is tried, as any proxy does.
            Failure::NotConnected => return Next::Again(0),
            Failure::Failed if failures <= retry_policy.retries => Next::Again(pause),
            Failure::Failed => Next::GiveUp,
        };
        if next == Next::GiveUp || retry_policy.budget.is_none() {
            return next;
        }
        if self.retry_credit < 1.0 {
            return Next::GiveUp;
        }
        self.retry_credit -= 1.0;
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
