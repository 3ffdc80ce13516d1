//! Addresses in a configuration. The error for an invalid one says what was expected and what it got.

use serde::de::{Deserializer, Error};
use serde::{Deserialize, de};
use std::net::SocketAddr;

/// An address and port.
pub(super) fn required<'de, D: Deserializer<'de>>(input: D) -> Result<SocketAddr, D::Error> {
    parsed(&String::deserialize(input)?)
}

/// An address and port, or none.
pub(super) fn optional<'de, D: Deserializer<'de>>(input: D) -> Result<Option<SocketAddr>, D::Error> {
    Option::<String>::deserialize(input)?.map(|text| parsed(&text)).transpose()
}

fn parsed<E: de::Error>(text: &str) -> Result<SocketAddr, E> {
    let invalid = |_| {
        Error::custom(format_args!("expected an address and port such as 127.0.0.1:9000, got \"{text}\""))
    };
    text.parse().map_err(invalid)
}
