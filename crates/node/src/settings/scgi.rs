//! Settings of the SCGI front.

use super::reader::Block;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The SCGI front: where it listens, and what its requests mean.
#[derive(Debug, Clone, PartialEq)]
pub struct ScgiSettings {
    /// Addresses.
    pub listen: Vec<SocketAddr>,
    /// Paths of UNIX sockets.
    pub unix: Vec<PathBuf>,
    /// From methods and paths to classes.
    pub routes: Vec<Route>,
    /// The path of health checks.
    pub health: Option<String>,
    /// Where the rest is told.
    pub headers: Headers,
    /// The memory booked for a request that tells none, in kB.
    pub memory_kb: f64,
    /// The rank of a request that tells none.
    pub rank: f64,
}

/// From a method and a path to a class.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// As `GET`.
    pub method: String,
    /// As `/sheets/{id}`.
    pub path: String,
    /// As the configuration names it.
    pub class: String,
}

/// Names of the headers, as SCGI spells them: `HTTP_X_TENANT` for `X-Tenant`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Headers {
    /// The tenant.
    pub tenant: String,
    /// The caller's number.
    pub caller: String,
    /// Milliseconds that the caller still waits; else the deadline of its class.
    pub wait_ms: String,
    /// `1` for a further try.
    pub retry: String,
    /// The rank.
    pub rank: String,
    /// The memory to book, in kB.
    pub memory_kb: String,
    /// The request's id, 16 hex digits; else it gets one.
    pub id: String,
    /// The token of a keyed class, as a quoted string or bare.
    pub token: String,
}

impl Headers {
    /// All of them.
    pub fn all(&self) -> [&str; 8] {
        let Self { tenant, caller, wait_ms, retry, rank, memory_kb, id, token } = self;
        [tenant, caller, wait_ms, retry, rank, memory_kb, id, token].map(String::as_str)
    }
}

impl Default for Headers {
    fn default() -> Self {
        let name = |name: &str| name.to_string();
        Self {
            tenant: name("HTTP_X_TENANT"),
            caller: name("HTTP_X_CALLER"),
            wait_ms: name("HTTP_X_WAIT_MS"),
            retry: name("HTTP_X_RETRY"),
            rank: name("HTTP_X_RANK"),
            memory_kb: name("HTTP_X_MEMORY_KB"),
            id: name("HTTP_X_REQUEST_ID"),
            token: name("HTTP_IDEMPOTENCY_KEY"),
        }
    }
}

impl Default for ScgiSettings {
    fn default() -> Self {
        let (listen, unix, routes, health) = (Vec::new(), Vec::new(), Vec::new(), None);
        Self { listen, unix, routes, health, headers: Headers::default(), memory_kb: 16.0, rank: 0.5 }
    }
}

/// Reads the block.
pub fn read(mut block: Block<'_>) -> ScgiSettings {
    let mut set = ScgiSettings::default();
    for (text, node) in block.each("listen") {
        match text.parse() {
            Ok(address) => set.listen.push(address),
            Err(_) => node.problem("expected listen to be IP:PORT"),
        }
        node.end_properties();
    }
    for (path, node) in block.each("unix") {
        set.unix.push(path.into());
        node.end_properties();
    }
    if set.listen.is_empty() && set.unix.is_empty() && !block.has("listen") && !block.has("unix") {
        block.problem("expected listen or unix, as in listen \"127.0.0.1:9001\"");
    }
    for (path, mut node) in block.each("route") {
        let (method, class) = (node.property("method"), node.property("class"));
        match class {
            Some(class) if path.starts_with('/') => {
                set.routes.push(Route { method: method.unwrap_or("GET".into()), path, class });
            }
            Some(_) => node.problem("expected a path that begins with /"),
            None => node.problem("expected a class, as in route \"/sheets/{id}\" class=\"sheet-view\""),
        }
        node.end_properties();
    }
    if set.routes.is_empty() && !block.has("route") {
        block.problem("expected a route");
    }
    set.health = block.word("health");
    if let Some(mut names) = block.block("headers") {
        let h = &mut set.headers;
        for (node, slot) in [
            ("tenant", &mut h.tenant),
            ("caller", &mut h.caller),
            ("wait-ms", &mut h.wait_ms),
            ("retry", &mut h.retry),
            ("rank", &mut h.rank),
            ("memory-kb", &mut h.memory_kb),
            ("id", &mut h.id),
            ("token", &mut h.token),
        ] {
            if let Some(name) = names.word(node) {
                *slot = name;
            }
        }
        let mut all = set.headers.all();
        all.sort_unstable();
        if all.windows(2).any(|two| two[0] == two[1]) {
            names.problem("one header can't tell two things");
        }
        names.end();
    }
    set.memory_kb = block.number("memory-kb", 0.001..=1_999.0).unwrap_or(set.memory_kb);
    set.rank = block.number("rank", 0.0..=0.999).unwrap_or(set.rank);
    block.end();
    set
}
