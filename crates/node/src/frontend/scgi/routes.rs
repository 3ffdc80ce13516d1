//! From a request's method, path and headers to a call: which class it is, who sent it and how long they wait. Decides by
//! the settings alone; no I/O.

use super::codec::Request;
use crate::settings::{ActiveSettings, Headers, ScgiSettings};
use gradepin_admission::{Idempotency, RequestId};
use gradepin_core::buffer_pool::BufferPool;
use gradepin_core::messages::{ClientRequest, RequestError};
use std::collections::BTreeMap;
use std::sync::Arc;

const MS: u64 = 1_000_000;
/// A token, as on the Thrift front.
const MOST_TOKEN: usize = 64;

/// What is wrong with the routes of the settings.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum BadRoute {
    /// The class is none of the configuration's.
    #[error("expected a class of the configuration, got '{0}'")]
    Class(String),
    /// The pattern can't be read, or another one takes what it would.
    #[error("the route {method} {path}: {why}")]
    Pattern {
        /// Its method.
        method: String,
        /// Its pattern.
        path: String,
        /// What is wrong with it.
        why: String,
    },
}

/// A request that can't be taken: how it is wrong, and a text for the one who sent it.
pub type Refusal = (RequestError, String);

/// Where a path leads.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Target {
    /// By its name, which a request looks up: its slot may be another's later.
    Class(Arc<str>),
    Health,
}

/// What came of a request.
#[derive(Debug)]
pub enum Routed {
    /// A request.
    Call(Box<ClientRequest>),
    /// A health check.
    Health,
}

/// The routes of one set of settings, to the classes in force.
#[derive(Debug)]
pub struct Routes {
    routers: BTreeMap<String, matchit::Router<Target>>,
    headers: Headers,
    memory_kb: f64,
    rank: f64,
    names: ActiveSettings,
}

impl Routes {
    /// Builds and checks them; `is_class` says whether the configuration they go with has a class of a name.
    pub fn new(
        set: &ScgiSettings,
        names: ActiveSettings,
        is_class: impl Fn(&str) -> bool,
    ) -> Result<Self, BadRoute> {
        let mut routers = BTreeMap::<String, matchit::Router<Target>>::new();
        let mut insert = |method: &str, path: &str, target| {
            let router = routers.entry(method.to_string()).or_default();
            router.insert(path, target).map_err(|why| BadRoute::Pattern {
                method: method.to_string(),
                path: path.to_string(),
                why: why.to_string(),
            })
        };
        for route in &set.routes {
            if !is_class(&route.class) {
                return Err(BadRoute::Class(route.class.clone()));
            }
            insert(&route.method, &route.path, Target::Class(Arc::from(route.class.as_str())))?;
        }
        if let Some(path) = &set.health {
            insert("GET", path, Target::Health)?;
        }
        let (headers, memory_kb, rank) = (set.headers.clone(), set.memory_kb, set.rank);
        Ok(Self { routers, headers, memory_kb, rank, names })
    }

    /// The headers that a decoder is to keep.
    pub fn wanted(&self) -> Vec<String> {
        let own = ["REQUEST_METHOD", "DOCUMENT_URI", "PATH_INFO", "REQUEST_URI"].map(String::from);
        own.into_iter().chain(self.headers.all().map(String::from)).collect()
    }

    fn target(&self, request: &Request) -> Result<Target, Refusal> {
        let text = |name: &str| request.header(name).and_then(|value| std::str::from_utf8(value).ok());
        let method =
            text("REQUEST_METHOD").ok_or((RequestError::Malformed, "expected REQUEST_METHOD".to_string()))?;
        // Web servers tell the path under several names; the first that is there counts, without its query.
        let names = ["DOCUMENT_URI", "PATH_INFO", "REQUEST_URI"];
        let path = names.iter().filter_map(|name| text(name)).find(|path| !path.is_empty());
        let path = path.ok_or((RequestError::Malformed, "expected a path as DOCUMENT_URI".to_string()))?;
        let path = path.split('?').next().unwrap_or(path);
        let at = |router: &matchit::Router<Target>| router.at(path).ok().map(|found| found.value.clone());
        if let Some(target) = self.routers.get(method).and_then(at) {
            return Ok(target);
        }
        let others: Vec<&str> = self
            .routers
            .iter()
            .filter(|(_, router)| at(router).is_some())
            .map(|(method, _)| method.as_str())
            .collect();
        if others.is_empty() {
            return Err((RequestError::NotFound, "no route has this path".into()));
        }
        Err((RequestError::MethodNotAllowed, format!("this path takes {}", others.join(", "))))
    }

    /// What a request is; `now_ms` is when it was read, and `id` its id where it brings none.
    pub fn route(
        &self,
        request: &Request,
        now_ms: u64,
        id: u64,
        pool: &Arc<BufferPool>,
    ) -> Result<Routed, Refusal> {
        let class = match self.target(request)? {
            Target::Health => return Ok(Routed::Health),
            Target::Class(class) => class,
        };
        let bad = |why: &str| (RequestError::Malformed, why.to_string());
        // A value that is no text, or holds what could end a line, is nobody's honest header.
        let text = |name: &str| match request.header(name) {
            None | Some(b"") => Ok(None),
            Some(value) if value.iter().any(|b| b.is_ascii_control()) => {
                Err(bad(&format!("control bytes in {name}")))
            }
            Some(value) => {
                std::str::from_utf8(value).map(Some).map_err(|_| bad(&format!("no text as {name}")))
            }
        };
        let Some((class, definition)) = self.names.class(&class) else {
            return Err((RequestError::NotFound, "the class of this route is not in force".into()));
        };
        let profile = &definition.profile;
        let h = &self.headers;
        let tenant = match text(&h.tenant)? {
            None => None,
            Some(name) => Some(self.names.tenant(name).ok_or_else(|| bad("an unknown tenant"))?),
        };
        let number = |name: &str, default: f64, range: std::ops::Range<f64>| match text(name)? {
            None => Ok(default),
            Some(value) => {
                value.parse::<f64>().ok().filter(|number| range.contains(number)).ok_or_else(|| {
                    bad(&format!("expected {name} from {} to under {}", range.start, range.end))
                })
            }
        };
        let whole = |name: &str, default: u64| match text(name)? {
            None => Ok(default),
            Some(value) => {
                value.parse::<u64>().map_err(|_| bad(&format!("expected a whole number as {name}")))
            }
        };
        let id = match text(&h.id)? {
            None => format!("{id:016x}"),
            Some(id) if id.len() == 16 && id.bytes().all(|b| b.is_ascii_hexdigit()) => id.to_string(),
            Some(_) => return Err(bad(&format!("expected 16 hex digits as {}", h.id))),
        };
        let keyed = profile.effect == Idempotency::Keyed;
        // The draft of the Idempotency-Key header has it as a quoted string; bare ones are common.
        let token = text(&h.token)?
            .map(|token| token.strip_prefix('"').and_then(|t| t.strip_suffix('"')).unwrap_or(token));
        let token = token.filter(|token| !token.is_empty() && token.len() <= MOST_TOKEN);
        if keyed && token.is_none() {
            return Err(bad(&format!("expected a token of 1 to {MOST_TOKEN} bytes as {}", h.token)));
        }
        Ok(Routed::Call(Box::new(ClientRequest {
            id: RequestId::new(&id),
            class,
            tenant,
            client_proxy: whole(&h.caller, 0)?,
            arrived_unix_ms: now_ms,
            budget_ms: whole(&h.wait_ms, profile.deadline.0 / MS)?,
            retry: text(&h.retry)? == Some("1"),
            size_kb: number(&h.memory_kb, self.memory_kb, 0.001..2_000.0)?,
            precedence: number(&h.rank, self.rank, 0.0..1.0)?,
            idempotency_key: token.map(Arc::from),
            has_subject: false,
            body: pool
                .exact(&request.body)
                .ok_or((RequestError::BodyTooLarge, "a body over its limit".to_string()))?,
        })))
    }
}

#[cfg(test)]
mod tests;
