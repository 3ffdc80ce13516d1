//! Log lines on standard error, written by a thread of their own so that a slow reader delays nobody.

use slog::{Drain, Logger, o};

/// The root logger. Lines that the reader of standard error can't keep up with are dropped and counted.
pub fn root(name: &str) -> Logger {
    let decorator = slog_term::PlainSyncDecorator::new(std::io::stderr());
    let drain = slog_term::FullFormat::new(decorator).use_utc_timestamp().build().ignore_res();
    let drain = slog_async::Async::new(drain).chan_size(1024).build().ignore_res();
    Logger::root(drain.filter_level(slog::Level::Info).ignore_res(), o!("server" => name.to_string()))
}
