//! Behavior of a client proxy: request rate, retries, and duplicate copies.

/// Behavior of a client proxy.
#[derive(Debug, Clone)]
pub struct ProxyBehavior {
    /// Requests per second, as a Poisson process.
    pub rate: f64,
    /// Retry policy.
    pub retry: Retry,
    /// Whether the proxy avoids a server for the Retry-After time of a rejection.
    pub honors_retry_after: bool,
    /// Fraction of requests sent over SCGI.
    pub scgi_share: f64,
    /// Duplicate copies of keyed requests, sent to the same server over the other protocol.
    pub repeats: Repeats,
}

impl ProxyBehavior {
    /// `rate` requests per second over Thrift, each with at most `tries` attempts at different servers.
    pub fn thrift(rate: f64, tries: usize, honors_retry_after: bool) -> Self {
        Self {
            rate,
            retry: Retry::Listed(tries),
            honors_retry_after,
            scgi_share: 0.0,
            repeats: Repeats::default(),
        }
    }
}

/// Retry policy, in force until the deadline of the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Retry {
    /// At most this many attempts, each at another server.
    Listed(usize),
    /// Immediate attempts, server by server and over again, regardless of Retry-After.
    Unlimited,
    /// An attempt after the Retry-After time of the rejection, with jitter.
    Patient,
}

/// Duplicate copies of keyed requests, sent some time after the first attempt.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Repeats {
    /// Fraction of the keyed requests that are duplicated.
    pub share: f64,
    /// Maximum delay after the first attempt, in ms.
    pub within_ms: u64,
    /// Whether each copy has an idempotency key of its own, which disables the deduplication under test.
    pub separate_keys: bool,
}
