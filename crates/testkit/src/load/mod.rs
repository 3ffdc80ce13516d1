//! Client proxies. Each draws its requests from a seed, picks servers from a list, sends over Thrift or SCGI, retries at
//! other servers, and records every attempt.

mod behavior;
mod classes;
mod proxy;
mod records;
mod servers;

pub use behavior::{ProxyBehavior, Repeats, Retry};
pub use classes::{Class, classes, scaled_classes};
pub use proxy::Proxy;
pub use records::{Attempt, End, IntervalCounts, Records, RequestRecord, tally};
pub use servers::{Servers, StaticServers};
