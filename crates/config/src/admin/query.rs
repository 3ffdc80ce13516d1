//! Queries of the `GET` calls, written and read by the same code. Names are percent-encoded; unknown words are refused.

use super::{MAX_HISTORY_PAGE, MAX_PAGE};
use crate::change::{Name, Revision};
use std::sync::Arc;

/// What `GET /config/show` asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Show {
    /// Revision, digest, counts and rules.
    Summary,
    /// One class.
    Class(Name),
    /// One tenant.
    Tenant(Name),
    /// A page of classes, by name.
    Classes(Page),
    /// A page of tenants, by name.
    Tenants(Page),
}

/// A part of a list that is sorted by name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// Begins after this name; at the first one without it.
    pub after: Option<Name>,
    /// Entries, from 1 to [`MAX_PAGE`].
    pub limit: u32,
}

/// What `GET /config/history` asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct History {
    /// Only commits before this revision.
    pub before: Option<Revision>,
    /// Commits, from 1 to [`MAX_HISTORY_PAGE`].
    pub limit: u32,
}

/// What `GET /config/diff` asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Diff {
    /// From which revision.
    pub from: Revision,
    /// To which; the one in force without it.
    pub to: Option<Revision>,
}

/// A query that makes no sense.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum BadQuery {
    /// A word that the call doesn't have, or one twice.
    #[error("expected each of {known} once at the most, came '{actual}'")]
    Word {
        /// The words of the call.
        known: &'static str,
        /// What came.
        actual: String,
    },
    /// A value of the wrong form.
    #[error("expected {word} to be {expected}, came '{actual}'")]
    Value {
        /// Of which word.
        word: &'static str,
        /// The form.
        expected: String,
        /// What came.
        actual: String,
    },
    /// A word that is missing.
    #[error("expected {0}")]
    Missing(&'static str),
}

impl Show {
    /// The query, without its question mark.
    pub fn to_query(&self) -> String {
        let page = |kind: &str, page: &Page| {
            let after = page.after.as_ref().map(|name| format!("&after={}", encode(name)));
            format!("kind={kind}&limit={}{}", page.limit, after.unwrap_or_default())
        };
        match self {
            Self::Summary => String::new(),
            Self::Class(name) => format!("kind=class&name={}", encode(name)),
            Self::Tenant(name) => format!("kind=tenant&name={}", encode(name)),
            Self::Classes(of) => page("classes", of),
            Self::Tenants(of) => page("tenants", of),
        }
    }

    /// Reads it again.
    pub fn from_query(query: &str) -> Result<Self, BadQuery> {
        let words = Words::read(query, &["kind", "name", "after", "limit"], "kind, name, after, limit")?;
        let page = || -> Result<Page, BadQuery> {
            let limit = words.number("limit")?.unwrap_or(u64::from(MAX_PAGE));
            let limit = bounded("limit", limit, MAX_PAGE)?;
            Ok(Page { after: words.get("after").map(Arc::from), limit })
        };
        let name = || words.get("name").map(Arc::from).ok_or(BadQuery::Missing("name=NAME"));
        match words.get("kind") {
            None => Ok(Self::Summary),
            Some("class") => name().map(Self::Class),
            Some("tenant") => name().map(Self::Tenant),
            Some("classes") => page().map(Self::Classes),
            Some("tenants") => page().map(Self::Tenants),
            Some(actual) => Err(BadQuery::Value {
                word: "kind",
                expected: "class, tenant, classes or tenants".into(),
                actual: actual.into(),
            }),
        }
    }
}

impl History {
    /// The query, without its question mark.
    pub fn to_query(self) -> String {
        let before = self.before.map(|revision| format!("&before={revision}")).unwrap_or_default();
        format!("limit={}{before}", self.limit)
    }

    /// Reads it again.
    pub fn from_query(query: &str) -> Result<Self, BadQuery> {
        let words = Words::read(query, &["before", "limit"], "before, limit")?;
        let limit = words.number("limit")?.unwrap_or(20);
        let limit = bounded("limit", limit, MAX_HISTORY_PAGE)?;
        Ok(Self { before: words.number("before")?.map(Revision), limit })
    }
}

impl Diff {
    /// The query, without its question mark.
    pub fn to_query(self) -> String {
        let to = self.to.map(|revision| format!("&to={revision}")).unwrap_or_default();
        format!("from={}{to}", self.from)
    }

    /// Reads it again.
    pub fn from_query(query: &str) -> Result<Self, BadQuery> {
        let words = Words::read(query, &["from", "to"], "from, to")?;
        let from = words.number("from")?.map(Revision).ok_or(BadQuery::Missing("from=REVISION"))?;
        Ok(Self { from, to: words.number("to")?.map(Revision) })
    }
}

/// The query of `GET /config/apply`, without its question mark.
pub fn request_query(request_id: &str) -> String {
    format!("request-id={}", encode(request_id))
}

/// Reads it again.
pub fn request_id(query: &str) -> Result<Name, BadQuery> {
    let words = Words::read(query, &["request-id"], "request-id")?;
    words.get("request-id").map(Arc::from).ok_or(BadQuery::Missing("request-id=ID"))
}

fn bounded(word: &'static str, value: u64, most: u32) -> Result<u32, BadQuery> {
    let within = u32::try_from(value).ok().filter(|value| (1..=most).contains(value));
    within.ok_or_else(|| BadQuery::Value {
        word,
        expected: format!("from 1 to {most}"),
        actual: value.to_string(),
    })
}

/// The words of a query with their values, decoded.
struct Words(Vec<(&'static str, String)>);

impl Words {
    fn read(query: &str, known: &[&'static str], listed: &'static str) -> Result<Self, BadQuery> {
        let mut words: Vec<(&'static str, String)> = Vec::new();
        for pair in query.split('&').filter(|pair| !pair.is_empty()) {
            let bad = || BadQuery::Word { known: listed, actual: pair.into() };
            let (word, value) = pair.split_once('=').ok_or_else(bad)?;
            let word = known.iter().copied().find(|known| *known == word).ok_or_else(bad)?;
            if words.iter().any(|(present, _)| *present == word) {
                return Err(bad());
            }
            words.push((word, decode(value).ok_or_else(bad)?));
        }
        Ok(Self(words))
    }

    fn get(&self, word: &str) -> Option<&str> {
        self.0.iter().find(|(known, _)| *known == word).map(|(_, value)| value.as_str())
    }

    fn number(&self, word: &'static str) -> Result<Option<u64>, BadQuery> {
        let Some(text) = self.get(word) else { return Ok(None) };
        let bad = || BadQuery::Value { word, expected: "a whole number".into(), actual: text.into() };
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

/// None where it isn't well-formed, or not UTF-8.
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
