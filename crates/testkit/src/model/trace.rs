//! Attempts of a request, or at a machine, as a Chrome trace: JSON for chrome://tracing and Perfetto.
//!
//! Phases become `tracing` events that a `tracing-subscriber` layer writes. The formatter is our own, because times are those
//! of the simulated day, while existing layers for Chrome's format read the clock of the machine.

use gradepin_model::world::{AttemptOutcome, AttemptTrace};
use serde_json::{Map, Value, json};
use std::fmt;
use std::io::{self, Write};
use std::sync::{Arc, Mutex, PoisonError};
use tracing::field::{Field, Visit};
use tracing::{Event, Subscriber};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields, MakeWriter};
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::registry::LookupSpan;

/// Attempts to include in a trace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Which {
    /// All attempts of a request.
    Request(u32),
    /// All attempts sent to a machine.
    Machine(u32),
}

impl Which {
    fn has(self, trace: &AttemptTrace) -> bool {
        match self {
            Self::Request(request) => trace.request == request,
            Self::Machine(machine) => trace.machine == machine,
        }
    }
}

#[derive(Default)]
struct Fields(Map<String, Value>);

impl Visit for Fields {
    fn record_u64(&mut self, field: &Field, value: u64) {
        self.0.insert(field.name().into(), value.into());
    }

    fn record_f64(&mut self, field: &Field, value: f64) {
        self.0.insert(field.name().into(), value.into());
    }

    fn record_str(&mut self, field: &Field, value: &str) {
        self.0.insert(field.name().into(), value.into());
    }

    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        self.0.insert(field.name().into(), format!("{value:?}").into());
    }
}

/// Formats an event as a line of Chrome's JSON array.
struct Chrome;

impl<S, N> FormatEvent<S, N> for Chrome
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(
        &self,
        _: &FmtContext<'_, S, N>,
        mut writer: Writer<'_>,
        event: &Event<'_>,
    ) -> fmt::Result {
        let mut fields = Fields::default();
        event.record(&mut fields);
        let mut take = |name: &str| fields.0.remove(name).unwrap_or(Value::Null);
        let (name, ts, dur) = (take("phase"), take("ts_us"), take("dur_us"));
        let (pid, tid) = (take("machine"), take("try_no"));
        let line =
            json!({"name": name, "ph": "X", "ts": ts, "dur": dur, "pid": pid, "tid": tid, "args": fields.0});
        writeln!(writer, "{line},")
    }
}

/// Output buffer shared with the layer.
#[derive(Clone, Default)]
struct Shared(Arc<Mutex<Vec<u8>>>);

impl Write for Shared {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for Shared {
    type Writer = Self;
    fn make_writer(&'a self) -> Self {
        self.clone()
    }
}

/// Returns the trace of the selected attempts, and their number.
pub fn chrome(traces: &[AttemptTrace], which: Which) -> (Vec<u8>, usize) {
    let shared = Shared::default();
    let layer = tracing_subscriber::fmt::layer().event_format(Chrome).with_writer(shared.clone());
    let subscriber = tracing_subscriber::registry().with(layer);
    let mut count = 0;
    tracing::subscriber::with_default(subscriber, || {
        for (number, trace) in traces.iter().enumerate().filter(|(_, trace)| which.has(trace)) {
            count += 1;
            tell(number, trace);
        }
    });
    let lines = shared.0.lock().unwrap_or_else(PoisonError::into_inner);
    let lines = String::from_utf8_lossy(&lines);
    let events = lines.trim_end().trim_end_matches(',');
    (format!("{{\"displayTimeUnit\":\"ms\",\"traceEvents\":[\n{events}\n]}}\n").into_bytes(), count)
}

fn tell(number: usize, trace: &AttemptTrace) {
    let phases = [
        ("on the way", Some(trace.sent), trace.arrived),
        ("unread", trace.arrived, trace.read),
        ("held", trace.read, trace.started.or(trace.answered)),
        ("runs", trace.started, trace.ended),
    ];
    let got = match trace.outcome {
        AttemptOutcome::Open => "nothing",
        AttemptOutcome::Served => "served",
        AttemptOutcome::Refused => "refused",
        AttemptOutcome::Failed => "failed",
    };
    for (phase, from, to) in phases {
        let (Some(from), Some(to)) = (from, to) else { continue };
        tracing::info!(
            phase,
            ts_us = from as f64 / 1e3,
            dur_us = to.saturating_sub(from) as f64 / 1e3,
            machine = u64::from(trace.machine),
            try_no = number as u64,
            request = u64::from(trace.request),
            got,
        );
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a malformed trace, and against other requests in it.
    #[test]
    fn trace_has_the_phases_of_the_selected_request() {
        let trace = |request, machine| AttemptTrace {
            request,
            machine,
            sent: 1_000_000,
            arrived: Some(2_000_000),
            read: Some(5_000_000),
            started: Some(9_000_000),
            ended: Some(109_000_000),
            answered: Some(109_000_000),
            outcome: AttemptOutcome::Served,
        };
        let traces = [trace(1, 0), AttemptTrace { request: 2, ..AttemptTrace::default() }, trace(2, 1)];
        let (bytes, count) = chrome(&traces, Which::Request(2));
        let trace: Value = serde_json::from_slice(&bytes).unwrap();
        let events = trace["traceEvents"].as_array().unwrap();
        assert_eq!((count, events.len()), (2, 4));
        assert_eq!((&events[3]["name"], &events[3]["ph"]), (&json!("runs"), &json!("X")));
        assert_eq!((&events[3]["ts"], &events[3]["dur"]), (&json!(9_000.0), &json!(100_000.0)));
        assert_eq!((&events[3]["pid"], &events[3]["args"]["got"]), (&json!(1), &json!("served")));
        let none: Value = serde_json::from_slice(&chrome(&traces, Which::Machine(9)).0).unwrap();
        assert_eq!(none["traceEvents"], json!([]));
    }
}
