//! How a request of a scripted client differs from the usual one.

use super::random::Random;
use std::time::Duration;

/// Deviations from the usual request.
#[derive(Debug, Clone, Default)]
pub struct RequestOptions {
    /// Makes a further attempt of the keyed request with this index.
    pub retry_of: Option<usize>,
    /// Repeats the attempt with this index, which crossed the close of another connection.
    pub resend_of: Option<usize>,
    /// Length of the body, in bytes.
    pub body: Option<usize>,
    /// Adds a field without meaning of this length, in bytes.
    pub padding: Option<usize>,
    /// Class to use instead of a drawn one.
    pub class: Option<&'static str>,
    /// Fields that replace the usual ones of the same name.
    pub fields: Vec<(&'static str, String)>,
}

impl RequestOptions {
    /// The budget among the fields, if there is one.
    pub(super) fn budget(&self) -> Option<Duration> {
        let (_, budget_ms) = self.fields.iter().find(|(name, _)| *name == "budget")?;
        budget_ms.parse().ok().map(Duration::from_millis)
    }

    /// Draws a body of random bytes; lengths at the limits are frequent.
    pub(super) fn draw_body(&self, random: &mut Random) -> Vec<u8> {
        let limits = [0, 1, 2, 2_047, 2_048];
        let drawn = if random.once_in(4) { random.one_of(&limits) } else { random.count(0..=500) };
        let mut body = random.bytes(self.body.unwrap_or(drawn));
        if body.len() > 40 {
            // Would confuse a parser that searches the body for line ends.
            body[..10].copy_from_slice(b"\r\nbegin x ");
        }
        body
    }
}
