//! Deserialization of integers in any notation that JSON has for them.
//!
//! JSON writers differ: `4000000000`, `4000000000.0` and `4e9` are the same number. A server must start even
//! if the tool that wrote its settings file writes integers with a decimal point.

use serde::de::{Deserializer, Error, Unexpected, Visitor};
use std::fmt;
use std::marker::PhantomData;

/// The smallest float above the range of `u64`: 2 to the power of 64.
const PAST_U64: f64 = 18_446_744_073_709_551_616.0;

/// Treatment of a fractional part.
#[derive(Clone, Copy, PartialEq)]
enum Fraction {
    Rejected,
    Truncated,
}

struct Number<N> {
    fraction: Fraction,
    of: PhantomData<N>,
}

impl<N: TryFrom<u64>> Visitor<'_> for Number<N> {
    type Value = N;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let bits = 8 * size_of::<N>();
        let kind = if self.fraction == Fraction::Rejected { "a whole number" } else { "a number" };
        write!(formatter, "{kind} from 0 to 2^{bits} - 1")
    }

    fn visit_u64<E: Error>(self, number: u64) -> Result<N, E> {
        N::try_from(number).map_err(|_| E::invalid_value(Unexpected::Unsigned(number), &self))
    }

    fn visit_i64<E: Error>(self, number: i64) -> Result<N, E> {
        match u64::try_from(number) {
            Ok(number) => self.visit_u64(number),
            Err(_) => Err(E::invalid_value(Unexpected::Signed(number), &self)),
        }
    }

    fn visit_f64<E: Error>(self, number: f64) -> Result<N, E> {
        let whole = self.fraction == Fraction::Truncated || number.fract() == 0.0;
        if whole && (0.0..PAST_U64).contains(&number) {
            return self.visit_u64(number as u64);
        }
        Err(E::invalid_value(Unexpected::Float(number), &self))
    }
}

fn number<'de, D, N>(deserializer: D, fraction: Fraction) -> Result<N, D::Error>
where
    D: Deserializer<'de>,
    N: TryFrom<u64>,
{
    let visitor = Number { fraction, of: PhantomData };
    // Formats that are not self-describing, such as postcard, do not support `deserialize_any`.
    if deserializer.is_human_readable() {
        deserializer.deserialize_any(visitor)
    } else {
        deserializer.deserialize_u64(visitor)
    }
}

/// Deserializes an integer; a number with a fractional part is an error.
pub fn whole<'de, D, N>(deserializer: D) -> Result<N, D::Error>
where
    D: Deserializer<'de>,
    N: TryFrom<u64>,
{
    number(deserializer, Fraction::Rejected)
}

/// Deserializes a number and truncates its fractional part.
pub fn whole_part<'de, D, N>(deserializer: D) -> Result<N, D::Error>
where
    D: Deserializer<'de>,
    N: TryFrom<u64>,
{
    number(deserializer, Fraction::Truncated)
}

/// Default of a fraction that the settings omit: all.
pub(crate) fn full_share() -> f64 {
    1.0
}
