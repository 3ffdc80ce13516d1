//! The simulator's text protocol: parses lines into settings and events, and formats actions as lines.

use gradepin_admission::{Action, Event, Gauges, Outcome, Request, RequestId, Settings, Span, Time};
use std::fmt::Write;

const EVENTS: [&str; 7] =
    ["req", "left", "completed", "ready_to_call", "call_result", "sigterm", "deadline_hit"];

/// Shortest idle timeout that the protocol can express. The simulator reads 0 as the longest one.
const MIN_IDLE_TIMEOUT: Span = Span(10_000_000);

/// Whether the adapter knows this kind of event. Other kinds are ignored.
pub fn is_event(op: &str) -> bool {
    EVENTS.contains(&op)
}

/// Parses the line that opens a batch, and returns the time of the batch.
pub fn sync(line: &str) -> Result<Time, String> {
    let clock = line.strip_prefix("sync ").and_then(|text| text.parse().ok());
    clock.map(Time).ok_or_else(|| format!("expected 'sync CLOCK', got '{line}'"))
}

/// Parses the seed and the settings of a new instance.
pub fn start(rest: &str) -> Result<(u64, Settings), String> {
    let (seed, params) = rest.split_once(' ').ok_or("expected 'start INSTANCE SEED PARAMS'")?;
    let seed = seed.parse::<u64>().or_else(|_| seed.parse::<i64>().map(i64::cast_unsigned));
    let seed = seed.map_err(|_| "expected a whole number as seed".to_string())?;
    let settings: Settings = serde_json::from_str(params).map_err(|e| format!("expected settings: {e}"))?;
    settings.check().map_err(|e| e.to_string())?;
    Ok((seed, settings))
}

/// Parses one event; `None` if its kind is unknown.
pub fn event(op: &str, rest: &str, settings: &Settings) -> Result<Option<Event>, String> {
    let mut words = Words { op, words: rest.split(' ') };
    Ok(Some(match op {
        "req" => Event::Arrived(request(&mut words, settings)?),
        "left" => Event::CallerGone(words.id()?),
        "completed" => {
            Event::Completed { id: words.id()?, outcome: words.outcome()?, took: words.span("took")? }
        }
        "ready_to_call" => Event::UpstreamCallNeeded(words.id()?),
        "call_result" => {
            Event::UpstreamCallEnded { id: words.id()?, outcome: words.outcome()?, took: words.span("took")? }
        }
        "sigterm" => Event::ShutdownNotice(words.span("expires_in")?),
        "deadline_hit" => {
            words.required("cookie")?;
            Event::Timer(gauges(words.next())?)
        }
        _ => return Ok(None),
    }))
}

fn request(words: &mut Words, settings: &Settings) -> Result<Request, String> {
    let id = words.id()?;
    let expires_in = words.number::<u64>("expires_in")?.filter(|&ns| ns > 0).map(Span);
    let class = words.required("service")?;
    let class = settings.class(class).ok_or("expected in 'req' a service that the settings list")?;
    let has_subject = words.next().is_some();
    let caller = words.number("who")?.unwrap_or(0);
    let work = words.number("work")?.map(Span);
    let tenant = words.next().and_then(|team| settings.tenant(team));
    let size_kb: f64 = words.number("size_kb")?.unwrap_or(0.0);
    if !size_kb.is_finite() || size_kb < 0.0 {
        return Err("expected in 'req' a size_kb of 0 or more".to_string());
    }
    let precedence = words.number("precedence")?.unwrap_or(0.0);
    let flags: u64 = words.number("flags")?.unwrap_or(0);
    let earlier_attempt = words.next().filter(|&text| text != "0").map(RequestId::new);
    let unread_for = Span(words.number("queued_for")?.unwrap_or(0));
    let work = work.filter(|_| flags & 1 != 0);
    let (retry, write) = (flags & 2 != 0, flags & 4 != 0);
    Ok(Request {
        id,
        expires_in,
        class,
        has_subject,
        caller,
        work,
        tenant,
        size_kb,
        precedence,
        retry,
        write,
        earlier_attempt,
        unread_for,
    })
}

fn gauges(text: Option<&str>) -> Result<Gauges, String> {
    let mut gauges = Gauges::default();
    for pair in text.unwrap_or("").split(',').filter(|pair| !pair.is_empty()) {
        let value = pair.split_once(':').and_then(|(name, value)| Some((name, value.parse::<f64>().ok()?)));
        let (name, value) = value.ok_or_else(|| format!("expected gauges as name:value, got '{pair}'"))?;
        gauges.set(name, value);
    }
    Ok(gauges)
}

/// The space-separated values of one line, in order; `-` stands for an absent value.
struct Words<'a> {
    op: &'a str,
    words: std::str::Split<'a, char>,
}

impl<'a> Words<'a> {
    fn next(&mut self) -> Option<&'a str> {
        self.words.next().filter(|&text| text != "-" && !text.is_empty())
    }
    fn required(&mut self, name: &str) -> Result<&'a str, String> {
        let op = self.op;
        self.next().ok_or_else(|| format!("expected in '{op}' a value for {name}"))
    }
    fn number<T: std::str::FromStr>(&mut self, name: &str) -> Result<Option<T>, String> {
        let op = self.op;
        let bad = |text: &str| format!("expected in '{op}' a number for {name}, got '{text}'");
        self.next().map(|text| text.parse().map_err(|_| bad(text))).transpose()
    }
    fn span(&mut self, name: &str) -> Result<Span, String> {
        Ok(Span(self.number(name)?.unwrap_or(0)))
    }
    fn id(&mut self) -> Result<RequestId, String> {
        self.required("id").map(RequestId::new)
    }
    fn outcome(&mut self) -> Result<Outcome, String> {
        Ok(match self.required("outcome")? {
            "delivered" => Outcome::Success,
            "app_error" => Outcome::Failure,
            "shed" => Outcome::Rejected,
            "expired" => Outcome::TimedOut,
            "dial_failed" => Outcome::ConnectFailed,
            "dropped" => Outcome::Aborted,
            "revoked" => Outcome::Stopped,
            "unused" => Outcome::NotStarted,
            other => return Err(format!("expected in '{}' an outcome, got '{other}'", self.op)),
        })
    }
}

/// Appends the line of an action. The result is discarded, because writing to a string cannot fail.
pub fn write_action(out: &mut String, name: &str, action: &Action) {
    let _ = match action {
        Action::Run(id) => writeln!(out, "process {name} {}", id.0),
        Action::StopRun(id) => writeln!(out, "suspend {name} {}", id.0),
        Action::Reject { id, retry_after, is_final } => {
            writeln!(out, "refuse {name} {} {} {}", id.0, retry_after.0, u8::from(*is_final))
        }
        Action::Fail(id) => writeln!(out, "error {name} {}", id.0),
        Action::CallUpstream { id, timeout } => writeln!(out, "ask_below {name} {} {}", id.0, timeout.0),
        Action::SkipUpstreamCall(id) => writeln!(out, "degrade {name} {}", id.0),
        Action::RetainIdempotencyKey { id, retain_for } => {
            writeln!(out, "remember {name} {} {}", id.0, retain_for.0)
        }
        Action::ReleaseIdempotencyKey(id) => writeln!(out, "release_key {name} {}", id.0),
        Action::JoinRun(id) => writeln!(out, "join {name} {}", id.0),
        Action::ReportHealth { shallow, active } => {
            writeln!(out, "report_health {name} {} {}", u8::from(*shallow), u8::from(*active))
        }
        Action::AdvertiseCapacity(amount) => writeln!(out, "signal {name} {amount}"),
        Action::SetIdleTimeout(span) => {
            let reported = if *span < MIN_IDLE_TIMEOUT { Span(0) } else { *span };
            writeln!(out, "idle_limit {name} {}", reported.0)
        }
        Action::SetTimer(time) => writeln!(out, "remind {name} {} t", time.0),
        Action::Log(text) => writeln!(out, "emit {name} {text}"),
    };
}
