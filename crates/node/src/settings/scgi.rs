//! The `scgi` block: where the SCGI front end listens, its routes, and the names of its headers.

use super::kdl_reader::Block;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The SCGI front end.
#[derive(Debug, Clone, PartialEq)]
pub struct ScgiSettings {
    /// Addresses to listen on.
    pub listen: Vec<SocketAddr>,
    /// Paths of UNIX sockets to listen on.
    pub unix: Vec<PathBuf>,
    /// Routes from methods and paths to classes.
    pub routes: Vec<Route>,
    /// Path of health checks, if there is one.
    pub health: Option<String>,
    /// Names of the headers that are read.
    pub headers: Headers,
    /// Memory of a request that doesn't state it, in kB.
    pub memory_kb: f64,
    /// Rank of a request that doesn't state it, from 0 to below 1.
    pub rank: f64,
}

/// A route from a method and a path to a class.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// HTTP method, such as `GET`.
    pub method: String,
    /// Pattern of the path, such as `/sheets/{id}`.
    pub path: String,
    /// Name of the class in the configuration.
    pub class: String,
}

/// Names of headers as SCGI spells them: `HTTP_X_TENANT` for `X-Tenant`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Headers {
    /// The tenant.
    pub tenant: String,
    /// Number of the client.
    pub caller: String,
    /// How long the client still waits, in milliseconds; if absent, the deadline of the class counts.
    pub wait_ms: String,
    /// `1` for a retry.
    pub retry: String,
    /// The rank.
    pub rank: String,
    /// Memory of the request, in kB.
    pub memory_kb: String,
    /// Id of the request, 16 hex digits; if absent, one is generated.
    pub id: String,
    /// Idempotency key, as a quoted string or bare; required by keyed classes.
    pub token: String,
}

impl Headers {
    /// All names.
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
        Self {
            listen: Vec::new(),
            unix: Vec::new(),
            routes: Vec::new(),
            health: None,
            headers: Headers::default(),
            memory_kb: 16.0,
            rank: 0.5,
        }
    }
}

/// Reads the block.
pub(super) fn read(mut block: Block<'_>) -> ScgiSettings {
    let mut settings = ScgiSettings::default();
    for (text, node) in block.each("listen") {
        match text.parse() {
            Ok(address) => settings.listen.push(address),
            Err(_) => node.problem("expected listen to be IP:PORT"),
        }
        node.end();
    }
    for (path, node) in block.each("unix") {
        settings.unix.push(path.into());
        node.end();
    }
    if settings.listen.is_empty() && settings.unix.is_empty() && !block.has("listen") && !block.has("unix") {
        block.problem("expected listen or unix, as in listen \"127.0.0.1:9001\"");
    }
    settings.routes = routes(&mut block);
    settings.health = block.text("health");
    if let Some(names) = block.block("headers") {
        read_headers(&mut settings.headers, names);
    }
    settings.memory_kb = block.number("memory-kb", 0.001..=1_999.0).unwrap_or(settings.memory_kb);
    settings.rank = block.number("rank", 0.0..=0.999).unwrap_or(settings.rank);
    block.end();
    settings
}

fn routes(block: &mut Block<'_>) -> Vec<Route> {
    let mut routes = Vec::new();
    for (path, mut node) in block.each("route") {
        let method = node.property("method").unwrap_or("GET".into());
        match node.property("class") {
            Some(class) if path.starts_with('/') => routes.push(Route { method, path, class }),
            Some(_) => node.problem("expected a path that begins with /"),
            None => node.problem("expected a class, as in route \"/sheets/{id}\" class=\"sheet-view\""),
        }
        node.end();
    }
    if routes.is_empty() && !block.has("route") {
        block.problem("expected a route");
    }
    routes
}

/// Reads the names that replace the usual ones.
fn read_headers(headers: &mut Headers, mut block: Block<'_>) {
    for (node, name) in [
        ("tenant", &mut headers.tenant),
        ("caller", &mut headers.caller),
        ("wait-ms", &mut headers.wait_ms),
        ("retry", &mut headers.retry),
        ("rank", &mut headers.rank),
        ("memory-kb", &mut headers.memory_kb),
        ("id", &mut headers.id),
        ("token", &mut headers.token),
    ] {
        if let Some(text) = block.text(node) {
            *name = text;
        }
    }
    let mut names = headers.all();
    names.sort_unstable();
    if names.windows(2).any(|pair| pair[0] == pair[1]) {
        block.problem("one header can't tell two things");
    }
    block.end();
}
