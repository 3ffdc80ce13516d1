//! The SCGI 1 wire format, without I/O: the server's side ([`Decoder`]) and the client's ([`encode`],
//! [`ScgiResponse`]).

mod client;
mod decoder;

pub use client::{ScgiResponse, encode};
pub use decoder::{
    Decoder, FeedResult, MAX_BODY_BYTES, MAX_HEADERS_BYTES, MAX_RETAINED_BYTES, Request, ScgiError,
};

#[cfg(test)]
mod tests;
