//! Writes and parses the query strings of the `GET` calls, for the command line and the server.
//!
//! Values are percent-encoded. Unknown and repeated parameters are rejected.

use super::{MAX_HISTORY_PAGE, MAX_PAGE};
use crate::change::{Name, Revision};
use std::sync::Arc;

/// Number of commits in a page of the history if the query has no limit.
const DEFAULT_HISTORY_PAGE: u64 = 20;

/// The query of `GET /config/show`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Show {
    /// Revision, digest, number of entries, and rules.
    Summary,
    /// The class with this name.
    Class(Name),
    /// The tenant with this name.
    Tenant(Name),
    /// A page of the classes.
    Classes(Page),
    /// A page of the tenants.
    Tenants(Page),
}

/// A page of a list that is sorted by name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// The name after which the page starts; `None` to start at the first entry.
    pub after: Option<Name>,
    /// Number of entries, from 1 to [`MAX_PAGE`].
    pub limit: u32,
}

/// The query of `GET /config/history`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct History {
    /// Return only commits before this revision; `None` to start at the newest.
    pub before: Option<Revision>,
    /// Number of commits, from 1 to [`MAX_HISTORY_PAGE`].
    pub limit: u32,
}

/// The query of `GET /config/diff`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Diff {
    /// The revision that the changes start from.
    pub from: Revision,
    /// The revision that the changes lead to; `None` for the one in force.
    pub to: Option<Revision>,
}

/// Why a query is rejected.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum BadQuery {
    /// A parameter is unknown, repeated, or not percent-encoded correctly.
    #[error("expected each of {known} once at the most, came '{actual}'")]
    Parameter {
        /// All parameters of the call, for the error message.
        known: &'static str,
        /// The rejected `name=value` pair.
        actual: String,
    },
    /// The value of a parameter is malformed or out of range.
    #[error("expected {parameter} to be {expected}, got '{actual}'")]
    Value {
        /// The name of the parameter.
        parameter: &'static str,
        /// The values that are allowed.
        expected: String,
        /// The rejected value.
        actual: String,
    },
    /// A required parameter is missing.
    #[error("expected {0}")]
    Missing(&'static str),
}

impl Show {
    /// Writes the query string, without the question mark.
    pub fn to_query(&self) -> String {
        let page_query = |kind: &str, page: &Page| {
            let after = page.after.as_ref().map(|name| format!("&after={}", encode(name)));
            format!("kind={kind}&limit={}{}", page.limit, after.unwrap_or_default())
        };
        match self {
            Self::Summary => String::new(),
            Self::Class(name) => format!("kind=class&name={}", encode(name)),
            Self::Tenant(name) => format!("kind=tenant&name={}", encode(name)),
            Self::Classes(page) => page_query("classes", page),
            Self::Tenants(page) => page_query("tenants", page),
        }
    }

    /// Parses a query string.
    pub fn from_query(query: &str) -> Result<Self, BadQuery> {
        let parameters =
            Parameters::parse(query, &["kind", "name", "after", "limit"], "kind, name, after, limit")?;
        let page = || -> Result<Page, BadQuery> {
            let limit = parameters.number("limit")?.unwrap_or(u64::from(MAX_PAGE));
            let limit = bounded("limit", limit, MAX_PAGE)?;
            Ok(Page { after: parameters.get("after").map(Arc::from), limit })
        };
        let name = || parameters.get("name").map(Arc::from).ok_or(BadQuery::Missing("name=NAME"));
        match parameters.get("kind") {
            None => Ok(Self::Summary),
            Some("class") => name().map(Self::Class),
            Some("tenant") => name().map(Self::Tenant),
            Some("classes") => page().map(Self::Classes),
            Some("tenants") => page().map(Self::Tenants),
            Some(actual) => Err(BadQuery::Value {
                parameter: "kind",
                expected: "class, tenant, classes or tenants".into(),
                actual: actual.into(),
            }),
        }
    }
}

impl History {
    /// Writes the query string, without the question mark.
    pub fn to_query(self) -> String {
        let before = self.before.map(|revision| format!("&before={revision}")).unwrap_or_default();
        format!("limit={}{before}", self.limit)
    }

    /// Parses a query string.
    pub fn from_query(query: &str) -> Result<Self, BadQuery> {
        let parameters = Parameters::parse(query, &["before", "limit"], "before, limit")?;
        let limit = parameters.number("limit")?.unwrap_or(DEFAULT_HISTORY_PAGE);
        let limit = bounded("limit", limit, MAX_HISTORY_PAGE)?;
        Ok(Self { before: parameters.number("before")?.map(Revision), limit })
    }
}

impl Diff {
    /// Writes the query string, without the question mark.
    pub fn to_query(self) -> String {
        let to = self.to.map(|revision| format!("&to={revision}")).unwrap_or_default();
        format!("from={}{to}", self.from)
    }

    /// Parses a query string.
    pub fn from_query(query: &str) -> Result<Self, BadQuery> {
        let parameters = Parameters::parse(query, &["from", "to"], "from, to")?;
        let from = parameters.number("from")?.map(Revision).ok_or(BadQuery::Missing("from=REVISION"))?;
        Ok(Self { from, to: parameters.number("to")?.map(Revision) })
    }
}

/// Writes the query string of `GET /config/apply`, which queries the outcome of a request, without the question mark.
pub fn request_query(request_id: &str) -> String {
    format!("request-id={}", encode(request_id))
}

/// Parses the query string of `GET /config/apply` and returns the request id.
pub fn request_id(query: &str) -> Result<Name, BadQuery> {
    let parameters = Parameters::parse(query, &["request-id"], "request-id")?;
    parameters.get("request-id").map(Arc::from).ok_or(BadQuery::Missing("request-id=ID"))
}

/// Checks that a number is from 1 to `max`.
fn bounded(parameter: &'static str, value: u64, max: u32) -> Result<u32, BadQuery> {
    let within = u32::try_from(value).ok().filter(|value| (1..=max).contains(value));
    within.ok_or_else(|| BadQuery::Value {
        parameter,
        expected: format!("from 1 to {max}"),
        actual: value.to_string(),
    })
}

/// The parameters of a query with their decoded values.
struct Parameters(Vec<(&'static str, String)>);

impl Parameters {
    fn parse(query: &str, known: &[&'static str], known_text: &'static str) -> Result<Self, BadQuery> {
        let mut parameters: Vec<(&'static str, String)> = Vec::new();
        for pair in query.split('&').filter(|pair| !pair.is_empty()) {
            let bad = || BadQuery::Parameter { known: known_text, actual: pair.into() };
            let (parameter, value) = pair.split_once('=').ok_or_else(bad)?;
            let parameter = known.iter().copied().find(|known| *known == parameter).ok_or_else(bad)?;
            if parameters.iter().any(|(present, _)| *present == parameter) {
                return Err(bad());
            }
            parameters.push((parameter, decode(value).ok_or_else(bad)?));
        }
        Ok(Self(parameters))
    }

    fn get(&self, parameter: &str) -> Option<&str> {
        self.0.iter().find(|(known, _)| *known == parameter).map(|(_, value)| value.as_str())
    }

    fn number(&self, parameter: &'static str) -> Result<Option<u64>, BadQuery> {
        let Some(text) = self.get(parameter) else { return Ok(None) };
        let bad = || BadQuery::Value { parameter, expected: "a whole number".into(), actual: text.into() };
        text.parse().map(Some).map_err(|_| bad())
    }
}

/// Percent-encodes all but the unreserved characters of RFC 3986.
fn encode(text: &str) -> String {
    let mut encoded = String::with_capacity(text.len());
    for byte in text.bytes() {
        match byte {
            b'A'..=b'Z' | b'a'..=b'z' | b'0'..=b'9' | b'-' | b'.' | b'_' | b'~' => encoded.push(byte.into()),
            _ => encoded.push_str(&format!("%{byte:02X}")),
        }
    }
    encoded
}

/// Decodes percent-encoding; `None` if it is malformed or not UTF-8.
fn decode(text: &str) -> Option<String> {
    let mut bytes = text.bytes();
    let mut decoded = Vec::with_capacity(text.len());
    while let Some(byte) = bytes.next() {
        if byte != b'%' {
            decoded.push(byte);
            continue;
        }
        let digit = |byte: u8| char::from(byte).to_digit(16);
        let (high, low) = (digit(bytes.next()?)?, digit(bytes.next()?)?);
        decoded.push((high * 16 + low) as u8);
    }
    String::from_utf8(decoded).ok()
}
