//! Deserialization of addresses in a configuration. The error for an invalid address says what was expected and what
//! was found.

use serde::de::{Deserializer, Error};
use serde::{Deserialize, de};
use std::net::SocketAddr;

/// Deserializes an address and port.
pub(super) fn required<'de, D: Deserializer<'de>>(input: D) -> Result<SocketAddr, D::Error> {
    parsed(&String::deserialize(input)?)
}

/// Deserializes an optional address and port.
pub(super) fn optional<'de, D: Deserializer<'de>>(input: D) -> Result<Option<SocketAddr>, D::Error> {
    Option::<String>::deserialize(input)?.map(|text| parsed(&text)).transpose()
}

fn parsed<E: de::Error>(text: &str) -> Result<SocketAddr, E> {
    let invalid = |_| {
        Error::custom(format_args!("expected an address and port such as 127.0.0.1:9000, got \"{text}\""))
    };
    text.parse().map_err(invalid)
}
