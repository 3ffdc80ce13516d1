//! Addresses in a configuration. What is none is told with what was expected and what came.

use serde::de::{Deserializer, Error};
use serde::{Deserialize, de};
use std::net::SocketAddr;

/// An address and port.
pub fn required<'de, D: Deserializer<'de>>(input: D) -> Result<SocketAddr, D::Error> {
    parsed(&String::deserialize(input)?)
}

/// An address and port, or none.
pub fn optional<'de, D: Deserializer<'de>>(input: D) -> Result<Option<SocketAddr>, D::Error> {
    Option::<String>::deserialize(input)?.map(|text| parsed(&text)).transpose()
}

fn parsed<E: de::Error>(text: &str) -> Result<SocketAddr, E> {
    let wrong = |_| {
        Error::custom(format_args!("expected an address and port such as 127.0.0.1:9000, got \"{text}\""))
    };
    text.parse().map_err(wrong)
}
