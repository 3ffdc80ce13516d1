use super::*;
use std::sync::Arc;

struct RecordingDrain(Arc<Mutex<Vec<String>>>);

impl Drain for RecordingDrain {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, _: &OwnedKVList) -> Result<(), Never> {
        self.0.lock().unwrap().push(record.msg().to_string());
        Ok(())
    }
}

/// Guards against a line for each invalid message of a client at full speed, and against lines that are lost silently.
#[test]
fn drops_and_counts_lines_past_the_rate_limit() {
    let lines = Arc::new(Mutex::new(Vec::new()));
    let limit = Mutex::new(LineRateLimit { second: u64::MAX, lines: MAX_LINES_PER_SECOND + 7 });
    let drain = RateLimitedDrain { inner: RecordingDrain(Arc::clone(&lines)), start: Instant::now(), limit };
    let log = Logger::root(drain, o!());
    for _ in 0..2000 {
        slog::warn!(log, "invalid message");
    }
    let lines = lines.lock().unwrap();
    assert!(lines[0].starts_with("7 lines"), "{}", lines[0]);
    // On a slow machine the loop may take several seconds, but even there most lines are dropped.
    assert!(lines.len() > MAX_LINES_PER_SECOND as usize && lines.len() < 1000, "{}", lines.len());
    assert_eq!(LineRateLimit::default().admit(0), Admission { written: true, dropped_lines: 0 });
}
