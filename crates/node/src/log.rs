//! Log lines on standard error, written by a thread of their own so that a slow reader delays nobody.

use slog::{Drain, Level, Logger, Never, OwnedKVList, Record, o};
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

/// Lines written in any one second; more are counted and left out.
const A_SECOND: u32 = 40;
/// Lines that may wait for standard error.
const WAITING: usize = 256;

/// The form of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LogFormat {
    /// For people.
    #[default]
    Text,
    /// One JSON object a line, with `ts`, `level`, `msg` and the values.
    Json,
}

/// The root logger. Lines that come too fast, or that the reader of standard error can't keep up with, are dropped
/// and counted.
pub fn root(name: &str, format: LogFormat) -> Logger {
    let drain = match format {
        LogFormat::Text => {
            let decorator = slog_term::PlainSyncDecorator::new(std::io::stderr());
            let drain = slog_term::FullFormat::new(decorator).use_utc_timestamp().build().ignore_res();
            slog_async::Async::new(drain).chan_size(WAITING).build()
        }
        LogFormat::Json => {
            let drain = Mutex::new(slog_json::Json::default(std::io::stderr())).ignore_res();
            slog_async::Async::new(drain).chan_size(WAITING).build()
        }
    };
    let drain = Capped { inner: drain.ignore_res(), start: Instant::now(), cap: Mutex::default() };
    Logger::root(drain.filter_level(Level::Info).ignore_res(), o!("server" => name.to_string()))
}

/// Guards against a client at full speed whose every message is worth a line: formatting them would take the core.
struct Capped<D> {
    inner: D,
    start: Instant,
    cap: Mutex<Cap>,
}

/// Counts the lines of the running second.
#[derive(Default)]
struct Cap {
    second: u64,
    lines: u32,
}

impl Cap {
    /// Whether a line may be written, and how many were left out in the second that has just ended.
    fn admit(&mut self, second: u64) -> (bool, u32) {
        let left_out = if second == self.second { 0 } else { self.lines.saturating_sub(A_SECOND) };
        if second != self.second {
            (self.second, self.lines) = (second, 0);
        }
        self.lines = self.lines.saturating_add(1);
        (self.lines <= A_SECOND, left_out)
    }
}

impl<D: Drain<Ok = (), Err = Never>> Drain for Capped<D> {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        let second = self.start.elapsed().as_secs();
        let (written, left_out) = self.cap.lock().unwrap_or_else(PoisonError::into_inner).admit(second);
        if left_out > 0 {
            let text = format_args!("{left_out} lines of an earlier second were left out");
            self.inner.log(&slog::record!(Level::Warning, "", &text, slog::b!()), values)?;
        }
        if written { self.inner.log(record, values) } else { Ok(()) }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::sync::Arc;

    struct Kept(Arc<Mutex<Vec<String>>>);

    impl Drain for Kept {
        type Ok = ();
        type Err = Never;

        fn log(&self, record: &Record<'_>, _: &OwnedKVList) -> Result<(), Never> {
            self.0.lock().unwrap().push(record.msg().to_string());
            Ok(())
        }
    }

    /// Guards against a line for each bad message of a client at full speed, and against lines lost silently.
    #[test]
    fn lines_past_the_cap_are_left_out_and_counted() {
        let lines = Arc::new(Mutex::new(Vec::new()));
        let cap = Mutex::new(Cap { second: u64::MAX, lines: A_SECOND + 7 });
        let drain = Capped { inner: Kept(Arc::clone(&lines)), start: Instant::now(), cap };
        let log = Logger::root(drain, o!());
        for _ in 0..2000 {
            slog::warn!(log, "nonsense");
        }
        let lines = lines.lock().unwrap();
        assert!(lines[0].starts_with("7 lines"), "{}", lines[0]);
        // A slow machine may see several seconds here, and none sees all lines.
        assert!(lines.len() > A_SECOND as usize && lines.len() < 1000, "{}", lines.len());
        assert_eq!(Cap::default().admit(0), (true, 0));
    }
}
