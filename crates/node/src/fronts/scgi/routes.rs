//! From a request's method, path and headers to a call: which class it is, who sent it and how long they wait. Decides by
//! the settings alone; no I/O.

use super::codec::Request;
use crate::settings::{Headers, ScgiSettings};
use gradepin_core::messages::{Call, Misuse};
use gradepin_core::pool::Pool;
use gradepin_decisions::{Effect, RequestId, Settings};
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
pub type Refusal = (Misuse, String);

/// Where a path leads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Target {
    Class(usize),
    Health,
}

/// What came of a request.
#[derive(Debug)]
pub enum Routed {
    /// A request.
    Call(Box<Call>),
    /// A health check.
    Health,
}

/// The routes of one set of settings, checked against one configuration.
#[derive(Debug)]
pub struct Routes {
    routers: BTreeMap<String, matchit::Router<Target>>,
    headers: Headers,
    memory_kb: f64,
    rank: f64,
    settings: Arc<Settings>,
}

impl Routes {
    /// Builds and checks them.
    pub fn new(set: &ScgiSettings, settings: Arc<Settings>) -> Result<Self, BadRoute> {
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
            let class = settings.class(&route.class).ok_or_else(|| BadRoute::Class(route.class.clone()))?;
            insert(&route.method, &route.path, Target::Class(class))?;
        }
        if let Some(path) = &set.health {
            insert("GET", path, Target::Health)?;
        }
        let (headers, memory_kb, rank) = (set.headers.clone(), set.memory_kb, set.rank);
        Ok(Self { routers, headers, memory_kb, rank, settings })
    }

    /// The headers that a decoder is to keep.
    pub fn wanted(&self) -> Vec<String> {
        let own = ["REQUEST_METHOD", "DOCUMENT_URI", "PATH_INFO", "REQUEST_URI"].map(String::from);
        own.into_iter().chain(self.headers.all().map(String::from)).collect()
    }

    fn target(&self, request: &Request) -> Result<Target, Refusal> {
        let text = |name: &str| request.header(name).and_then(|value| std::str::from_utf8(value).ok());
        let method =
            text("REQUEST_METHOD").ok_or((Misuse::Request, "expected REQUEST_METHOD".to_string()))?;
        // Web servers tell the path under several names; the first that is there counts, without its query.
        let names = ["DOCUMENT_URI", "PATH_INFO", "REQUEST_URI"];
        let path = names.iter().filter_map(|name| text(name)).find(|path| !path.is_empty());
        let path = path.ok_or((Misuse::Request, "expected a path as DOCUMENT_URI".to_string()))?;
        let path = path.split('?').next().unwrap_or(path);
        let at = |router: &matchit::Router<Target>| router.at(path).ok().map(|found| *found.value);
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
            return Err((Misuse::NotFound, "no route has this path".into()));
        }
        Err((Misuse::NotAllowed, format!("this path takes {}", others.join(", "))))
    }

    /// What a request is; `now_ms` is when it was read, and `id` its id where it brings none.
    pub fn route(
        &self,
        request: &Request,
        now_ms: u64,
        id: u64,
        pool: &Arc<Pool>,
    ) -> Result<Routed, Refusal> {
        let class = match self.target(request)? {
            Target::Health => return Ok(Routed::Health),
            Target::Class(class) => class,
        };
        let bad = |why: &str| (Misuse::Request, why.to_string());
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
        let profile = &self.settings.profiles[class];
        let h = &self.headers;
        let tenant = match text(&h.tenant)? {
            None => None,
            Some(name) => Some(self.settings.tenant(name).ok_or_else(|| bad("an unknown tenant"))?),
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
        let keyed = profile.effect == Effect::ByKey;
        // The draft of the Idempotency-Key header has it as a quoted string; bare ones are common.
        let token = text(&h.token)?
            .map(|token| token.strip_prefix('"').and_then(|t| t.strip_suffix('"')).unwrap_or(token));
        let token = token.filter(|token| !token.is_empty() && token.len() <= MOST_TOKEN);
        if keyed && token.is_none() {
            return Err(bad(&format!("expected a token of 1 to {MOST_TOKEN} bytes as {}", h.token)));
        }
        Ok(Routed::Call(Box::new(Call {
            id: RequestId::new(&id),
            class,
            tenant,
            caller: whole(&h.caller, 0)?,
            t0: now_ms,
            budget: whole(&h.wait_ms, profile.deadline.0 / MS)?,
            retry: text(&h.retry)? == Some("1"),
            size_kb: number(&h.memory_kb, self.memory_kb, 0.001..2_000.0)?,
            precedence: number(&h.rank, self.rank, 0.0..1.0)?,
            token: token.map(Arc::from),
            has_key: false,
            body: pool.exact(&request.body).ok_or((Misuse::TooLarge, "a body over its limit".to_string()))?,
        })))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::settings::Route;

    fn routes(routes: &[(&str, &str, &str)]) -> Result<Routes, BadRoute> {
        let settings = serde_json::from_value(serde_json::json!({
            "granularity": 1, "customers": [{"name": "acme", "portion": 1.0, "quota_rps": 1.0}],
            "profiles": [{"name": "view", "promise": MS, "deadline": 4000 * MS, "effect": "repeatable", "worth": 1.0},
                         {"name": "save", "promise": MS, "deadline": 4000 * MS, "effect": "by_key", "worth": 1.0}],
            "rules": {"fall": 1, "tip_multiple": 4.0, "drain_grace": 1},
            "specifics": {"n_cores": 1, "memory_kb": 1.0, "run_factor": 1.0}
        }));
        let route = |(method, path, class): &(&str, &str, &str)| Route {
            method: method.to_string(),
            path: path.to_string(),
            class: class.to_string(),
        };
        let set = ScgiSettings {
            routes: routes.iter().map(route).collect(),
            health: Some("/health".into()),
            ..ScgiSettings::default()
        };
        Routes::new(&set, Arc::new(settings.expect("settings")))
    }

    fn some() -> Routes {
        routes(&[("GET", "/sheets/{id}", "view"), ("PUT", "/labels/{id}", "save")]).expect("routes")
    }

    fn asked(headers: &[(&str, &str)]) -> Result<Routed, Refusal> {
        let headers =
            headers.iter().map(|(name, value)| (name.to_string(), value.as_bytes().to_vec())).collect();
        some().route(&Request { headers, body: b"in".to_vec() }, 17, 255, &Pool::new(1))
    }

    #[test]
    fn methods_and_paths_lead_to_classes_health_and_plain_errors() {
        let of = |method: &str, path: &str| asked(&[("REQUEST_METHOD", method), ("DOCUMENT_URI", path)]);
        let Ok(Routed::Call(call)) = of("GET", "/sheets/9?zoom=1") else { panic!("a call") };
        assert_eq!((call.class, call.budget, call.t0, &*call.id.0), (0, 4000, 17, "00000000000000ff"));
        assert!(matches!(of("GET", "/health"), Ok(Routed::Health)));
        for (method, path, misuse) in [
            ("GET", "/nothing", Misuse::NotFound),
            ("DELETE", "/sheets/9", Misuse::NotAllowed),
            ("PUT", "/labels/1", Misuse::Request),
        ] {
            assert_eq!(of(method, path).unwrap_err().0, misuse, "{method} {path}");
        }
        assert_eq!(asked(&[("DOCUMENT_URI", "/sheets/9")]).unwrap_err().0, Misuse::Request);
    }

    #[test]
    fn headers_say_who_waits_how_long_and_strangers_figures_are_errors() {
        let with = |name: &str, value: &str| {
            asked(&[
                ("REQUEST_METHOD", "PUT"),
                ("PATH_INFO", "/labels/1"),
                ("HTTP_IDEMPOTENCY_KEY", "\"k1\""),
                (name, value),
            ])
        };
        let Ok(Routed::Call(call)) = with("HTTP_X_WAIT_MS", "900") else { panic!("a call") };
        assert_eq!((call.token.as_deref(), call.budget, call.retry), (Some("k1"), 900, false));
        let Ok(Routed::Call(call)) = with("HTTP_X_RETRY", "1") else { panic!("a call") };
        assert!(call.retry);
        for (name, value) in [
            ("HTTP_X_TENANT", "nobody"),
            ("HTTP_X_WAIT_MS", "-1"),
            ("HTTP_X_RANK", "1.0"),
            ("HTTP_X_RANK", "NaN"),
            ("HTTP_X_MEMORY_KB", "1e9"),
            ("HTTP_X_REQUEST_ID", "forged\r\nbegin"),
            ("HTTP_X_REQUEST_ID", "123"),
        ] {
            assert_eq!(with(name, value).unwrap_err().0, Misuse::Request, "{name} {value}");
        }
    }

    #[test]
    fn patterns_that_overlap_or_lead_nowhere_are_errors_at_load() {
        let two = |a: &str, b: &str| routes(&[("GET", a, "view"), ("GET", b, "view")]);
        assert!(matches!(two("/a/{x}", "/a/{y}"), Err(BadRoute::Pattern { .. })));
        assert!(matches!(two("/a", "/a"), Err(BadRoute::Pattern { .. })));
        assert!(matches!(two("/a/{", "/b"), Err(BadRoute::Pattern { .. })));
        assert!(matches!(two("/health", "/b"), Err(BadRoute::Pattern { .. })), "health has that path");
        assert!(two("/a/{x}", "/a/b").is_ok(), "a fixed path beside a pattern is told apart");
        assert_eq!(routes(&[("GET", "/a", "none")]).unwrap_err(), BadRoute::Class("none".into()));
    }
}
