//! The log: lines on standard error, written by a separate thread so that a slow reader delays no other thread. Lines
//! past a rate limit, or past the capacity of the thread's queue, are dropped and counted.

use slog::{Drain, Level, Logger, Never, OwnedKVList, Record, o};
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

const MAX_LINES_PER_SECOND: u32 = 40;
/// Lines that can wait for standard error.
const QUEUE_CAPACITY: usize = 256;

/// The format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LogFormat {
    /// Plain text, for people.
    #[default]
    Text,
    /// One JSON object a line, with `ts`, `level`, `msg` and the structured values.
    Json,
}

/// Creates the root logger of the server `name`; every line has the name as `server`.
pub fn root(name: &str, format: LogFormat) -> Logger {
    let drain = match format {
        LogFormat::Text => {
            let decorator = slog_term::PlainSyncDecorator::new(std::io::stderr());
            let drain = slog_term::FullFormat::new(decorator).use_utc_timestamp().build().ignore_res();
            slog_async::Async::new(drain).chan_size(QUEUE_CAPACITY).build()
        }
        LogFormat::Json => {
            let drain = Mutex::new(slog_json::Json::default(std::io::stderr())).ignore_res();
            slog_async::Async::new(drain).chan_size(QUEUE_CAPACITY).build()
        }
    };
    let drain =
        RateLimitedDrain { inner: drain.ignore_res(), start: Instant::now(), limit: Mutex::default() };
    Logger::root(drain.filter_level(Level::Info).ignore_res(), o!("server" => name.to_string()))
}

/// Drops lines past the rate limit before they are formatted: if every message of a client at full speed caused a line,
/// formatting would use up the CPU time.
struct RateLimitedDrain<D> {
    inner: D,
    start: Instant,
    limit: Mutex<LineRateLimit>,
}

/// Counts the lines of the current second.
#[derive(Default)]
struct LineRateLimit {
    /// Seconds since the start of the drain.
    second: u64,
    lines: u32,
}

/// Result of [`LineRateLimit::admit`] for a line.
#[derive(Debug, PartialEq, Eq)]
struct Admission {
    /// Whether the line may be written.
    written: bool,
    /// Number of lines dropped in an earlier second, reported once.
    dropped_lines: u32,
}

impl LineRateLimit {
    /// Counts a line of this second, and checks it against the limit.
    fn admit(&mut self, second: u64) -> Admission {
        let mut dropped_lines = 0;
        if second != self.second {
            dropped_lines = self.lines.saturating_sub(MAX_LINES_PER_SECOND);
            (self.second, self.lines) = (second, 0);
        }
        self.lines = self.lines.saturating_add(1);
        Admission { written: self.lines <= MAX_LINES_PER_SECOND, dropped_lines }
    }
}

impl<D: Drain<Ok = (), Err = Never>> Drain for RateLimitedDrain<D> {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        let second = self.start.elapsed().as_secs();
        let admission = self.limit.lock().unwrap_or_else(PoisonError::into_inner).admit(second);
        if admission.dropped_lines > 0 {
            let dropped_lines = admission.dropped_lines;
            let text = format_args!(
                "{dropped_lines} lines of an earlier second were dropped by the log's rate limit"
            );
            self.inner.log(&slog::record!(Level::Warning, "", &text, slog::b!()), values)?;
        }
        if admission.written { self.inner.log(record, values) } else { Ok(()) }
    }
}

#[cfg(test)]
mod tests;
