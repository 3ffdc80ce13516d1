//! Numbers of a settings file in either form that JSON has for them.
//!
//! Writers of JSON differ: `4000000000`, `4000000000.0` and `4e9` are one number. Guards against a server that doesn't start
//! because its customer's tool writes whole numbers with a point.

use crate::interface::Span;
use serde::de::{Deserialize, Deserializer, Error, Unexpected, Visitor};
use std::fmt;
use std::marker::PhantomData;

/// The first float past `u64`: 2 to the power of 64.
const PAST_U64: f64 = 18_446_744_073_709_551_616.0;

/// What becomes of a part below one.
#[derive(Clone, Copy, PartialEq)]
enum Fraction {
    Refused,
    Dropped,
}

struct Number<N> {
    fraction: Fraction,
    of: PhantomData<N>,
}

impl<N: TryFrom<u64>> Visitor<'_> for Number<N> {
    type Value = N;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let most = 8 * size_of::<N>();
        let kind = if self.fraction == Fraction::Refused { "a whole number" } else { "a number" };
        write!(formatter, "{kind} from 0 to 2^{most} - 1")
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
        let whole = self.fraction == Fraction::Dropped || number.fract() == 0.0;
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
    // Forms that don't tell of what type a value is hold it as it is.
    if deserializer.is_human_readable() {
        deserializer.deserialize_any(visitor)
    } else {
        deserializer.deserialize_u64(visitor)
    }
}

/// A count: a whole number, with a point or without.
pub fn whole<'de, D, N>(deserializer: D) -> Result<N, D::Error>
where
    D: Deserializer<'de>,
    N: TryFrom<u64>,
{
    number(deserializer, Fraction::Refused)
}

/// A measure of which only whole units count; a part of one is dropped.
pub fn whole_part<'de, D, N>(deserializer: D) -> Result<N, D::Error>
where
    D: Deserializer<'de>,
    N: TryFrom<u64>,
{
    number(deserializer, Fraction::Dropped)
}

impl<'de> Deserialize<'de> for Span {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        whole_part(deserializer).map(Span)
    }
}
