//! Routes of the SCGI front end: convert the method, path and headers of an SCGI request to a request of a class, as
//! the settings say. No I/O.

use super::codec::Request;
use crate::frontend::protocol::InvalidRequest;
use crate::settings::{ActiveSettings, HeaderNames, ScgiSettings};
use gradepin_admission::{ClassDefinition, Idempotency, RequestId};
use gradepin_core::buffer_pool::BufferPool;
use gradepin_core::messages::{ClientRequest, Receipt, RequestError};
use gradepin_core::slots::Handle;
use std::collections::BTreeMap;
use std::ops::Range;
use std::str::FromStr;
use std::sync::Arc;

const NANOSECONDS_PER_MS: u64 = 1_000_000;
/// Maximum size of an idempotency key, the same as on the Thrift front end.
const MAX_KEY_BYTES: usize = 64;
/// Range of the memory that a client may state for its request.
const SIZE_KB: Range<f64> = 0.001..2_000.0;
/// Range of the rank that a client may state.
const RANKS: Range<f64> = 0.0..1.0;
/// Headers in which web servers send the path; the first non-empty one is used.
const PATH_HEADERS: [&str; 3] = ["DOCUMENT_URI", "PATH_INFO", "REQUEST_URI"];
const METHOD_HEADER: &str = "REQUEST_METHOD";

/// An error in the routes of the settings.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RouteError {
    /// The configuration has no class of this name.
    #[error("expected a class of the configuration, got '{0}'")]
    UnknownClass(String),
    /// The pattern is invalid or overlaps with that of another route.
    #[error("the route {method} {path}: {reason}")]
    InvalidPattern {
        /// Method of the route.
        method: String,
        /// Pattern of the route.
        path: String,
        /// Error of the router.
        reason: String,
    },
}

/// The target of a route.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Target {
    /// A class, by name. Each request looks the name up, because the slot of the class may be reused for another one.
    Class(Arc<str>),
    HealthCheck,
}

/// The result of routing a request.
#[derive(Debug)]
pub enum Routed {
    /// The request is of a class.
    Request(Box<ClientRequest>),
    /// The request is a health check.
    HealthCheck,
}

/// Values that the server adds to a request.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    /// Time at which the request was read, in Unix milliseconds.
    pub unix_ms: u64,
    /// Id of the request if it has none of its own.
    pub generated_id: u64,
}

/// The routes of a settings file to the classes in force.
#[derive(Debug)]
pub struct Routes {
    routers_by_method: BTreeMap<String, matchit::Router<Target>>,
    header_names: HeaderNames,
    default_size_kb: f64,
    default_rank: f64,
    active: ActiveSettings,
}

impl Routes {
    /// Builds and checks the routes; `is_class` tells whether the configuration has a class of this name.
    ///
    /// # Errors
    /// For the first route with an unknown class, or with a pattern that is invalid or overlaps with another.
    pub fn new(
        settings: &ScgiSettings,
        active: ActiveSettings,
        is_class: impl Fn(&str) -> bool,
    ) -> Result<Self, RouteError> {
        let mut routers_by_method = BTreeMap::<String, matchit::Router<Target>>::new();
        let mut insert = |method: &str, path: &str, target| {
            let router = routers_by_method.entry(method.to_string()).or_default();
            router.insert(path, target).map_err(|error| RouteError::InvalidPattern {
                method: method.to_string(),
                path: path.to_string(),
                reason: error.to_string(),
            })
        };
        for route in &settings.routes {
            if !is_class(&route.class) {
                return Err(RouteError::UnknownClass(route.class.clone()));
            }
            insert(&route.method, &route.path, Target::Class(Arc::from(route.class.as_str())))?;
        }
        if let Some(path) = &settings.health {
            insert("GET", path, Target::HealthCheck)?;
        }
        Ok(Self {
            routers_by_method,
            header_names: settings.headers.clone(),
            default_size_kb: settings.memory_kb,
            default_rank: settings.rank,
            active,
        })
    }

    /// Names of the headers that the decoder must retain.
    pub fn required_headers(&self) -> Vec<String> {
        let of_routes = [METHOD_HEADER].into_iter().chain(PATH_HEADERS);
        of_routes.chain(self.header_names.all()).map(String::from).collect()
    }

    fn target(&self, request: &Request) -> Result<Target, InvalidRequest> {
        let text = |name: &str| request.header(name).and_then(|value| std::str::from_utf8(value).ok());
        let method =
            text(METHOD_HEADER).ok_or_else(|| InvalidRequest::malformed("expected REQUEST_METHOD"))?;
        let path = PATH_HEADERS.iter().filter_map(|name| text(name)).find(|path| !path.is_empty());
        let path = path.ok_or_else(|| InvalidRequest::malformed("expected a path as DOCUMENT_URI"))?;
        let path = path.split('?').next().unwrap_or(path);
        let find = |router: &matchit::Router<Target>| router.at(path).ok().map(|found| found.value.clone());
        if let Some(target) = self.routers_by_method.get(method).and_then(find) {
            return Ok(target);
        }
        let other_methods: Vec<&str> = self
            .routers_by_method
            .iter()
            .filter(|(_, router)| find(router).is_some())
            .map(|(method, _)| method.as_str())
            .collect();
        if other_methods.is_empty() {
            return Err(InvalidRequest::new(RequestError::NotFound, "no route has this path"));
        }
        let text = format!("this path takes {}", other_methods.join(", "));
        Err(InvalidRequest::new(RequestError::MethodNotAllowed, text))
    }

    /// Routes a request.
    ///
    /// # Errors
    /// If no route matches, or a header has an invalid value.
    pub fn route(
        &self,
        request: &Request,
        arrival: Arrival,
        pool: &Arc<BufferPool>,
    ) -> Result<Routed, InvalidRequest> {
        let class = match self.target(request)? {
            Target::HealthCheck => return Ok(Routed::HealthCheck),
            Target::Class(class) => class,
        };
        let Some((class, definition)) = self.active.class(&class) else {
            let text = "the class of this route is not in force";
            return Err(InvalidRequest::new(RequestError::NotFound, text));
        };
        let names = &self.header_names;
        let headers = HeaderValues(request);
        let tenant = self.tenant(headers)?;
        let id = request_id(headers, &names.id, arrival.generated_id)?;
        let idempotency_key = idempotency_key(headers, &names.token, &definition)?;
        let default_budget_ms = definition.profile.deadline.0 / NANOSECONDS_PER_MS;
        let client_request = ClientRequest {
            id,
            class,
            tenant,
            client_proxy: headers.integer(&names.caller, 0)?,
            arrived_unix_ms: arrival.unix_ms,
            budget_ms: headers.integer(&names.wait_ms, default_budget_ms)?,
            retry: headers.text(&names.retry)? == Some("1"),
            size_kb: headers.number(&names.memory_kb, self.default_size_kb, SIZE_KB)?,
            precedence: headers.number(&names.rank, self.default_rank, RANKS)?,
            idempotency_key,
            has_subject: false,
            receipt: Receipt::default(),
            body: pool
                .exact(&request.body)
                .ok_or_else(|| InvalidRequest::new(RequestError::BodyTooLarge, "a body over its limit"))?,
        };
        Ok(Routed::Request(Box::new(client_request)))
    }

    fn tenant(&self, headers: HeaderValues<'_>) -> Result<Option<Handle>, InvalidRequest> {
        let Some(name) = headers.text(&self.header_names.tenant)? else { return Ok(None) };
        match self.active.tenant(name) {
            Some(tenant) => Ok(Some(tenant)),
            None => Err(InvalidRequest::malformed("an unknown tenant")),
        }
    }
}

/// The id in the request's header, or the generated one. Only hex digits are accepted because the id is written into
/// lines to the processor.
fn request_id(headers: HeaderValues<'_>, name: &str, generated_id: u64) -> Result<RequestId, InvalidRequest> {
    match headers.text(name)? {
        None => Ok(RequestId::new(&format!("{generated_id:016x}"))),
        Some(id) if id.len() == 16 && id.bytes().all(|byte| byte.is_ascii_hexdigit()) => {
            Ok(RequestId::new(id))
        }
        Some(_) => Err(InvalidRequest::malformed(format!("expected 16 hex digits as {name}"))),
    }
}

/// The idempotency key of a request, which a keyed class requires.
fn idempotency_key(
    headers: HeaderValues<'_>,
    name: &str,
    class: &ClassDefinition,
) -> Result<Option<Arc<str>>, InvalidRequest> {
    // The IETF draft of Idempotency-Key defines a quoted string, but unquoted keys are common.
    let unquoted = |key: &str| key.strip_prefix('"').and_then(|key| key.strip_suffix('"')).map(Arc::from);
    let key: Option<Arc<str>> =
        headers.text(name)?.map(|key| unquoted(key).unwrap_or_else(|| Arc::from(key)));
    let key = key.filter(|key| !key.is_empty() && key.len() <= MAX_KEY_BYTES);
    if class.profile.effect == Idempotency::Keyed && key.is_none() {
        let text = format!("expected a token of 1 to {MAX_KEY_BYTES} bytes as {name}");
        return Err(InvalidRequest::malformed(text));
    }
    Ok(key)
}

/// Reads the values of headers; an empty value counts as absent.
#[derive(Clone, Copy)]
struct HeaderValues<'r>(&'r Request);

impl<'r> HeaderValues<'r> {
    /// Reads a text. Control characters are rejected because they could end a line of the log or of the processor link.
    fn text(self, name: &str) -> Result<Option<&'r str>, InvalidRequest> {
        match self.0.header(name) {
            None | Some(b"") => Ok(None),
            Some(value) if value.iter().any(u8::is_ascii_control) => {
                Err(InvalidRequest::malformed(format!("control bytes in {name}")))
            }
            Some(value) => match std::str::from_utf8(value) {
                Ok(text) => Ok(Some(text)),
                Err(_) => Err(InvalidRequest::malformed(format!("no text as {name}"))),
            },
        }
    }

    fn number(self, name: &str, default: f64, range: Range<f64>) -> Result<f64, InvalidRequest> {
        let Some(text) = self.text(name)? else { return Ok(default) };
        let number = f64::from_str(text).ok().filter(|number| range.contains(number));
        number.ok_or_else(|| {
            let (start, end) = (range.start, range.end);
            InvalidRequest::malformed(format!("expected {name} from {start} to under {end}"))
        })
    }

    fn integer(self, name: &str, default: u64) -> Result<u64, InvalidRequest> {
        let Some(text) = self.text(name)? else { return Ok(default) };
        let error = |_| InvalidRequest::malformed(format!("expected a whole number as {name}"));
        u64::from_str(text).map_err(error)
    }
}

#[cfg(test)]
mod tests;
