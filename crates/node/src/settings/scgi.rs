//! The `scgi` block: the addresses of the SCGI front end, its routes, and the names of its headers.

use super::kdl_reader::Block;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Settings of the SCGI front end.
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
    pub headers: HeaderNames,
    /// Memory of requests without the header, in kB.
    pub memory_kb: f64,
    /// Rank of requests without the header: at least 0 and less than 1.
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

/// Names of the headers in the spelling of SCGI: `HTTP_X_TENANT` for `X-Tenant`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeaderNames {
    /// Header with the name of the tenant.
    pub tenant: String,
    /// Header with the number of the client.
    pub caller: String,
    /// Header with the time that the client still waits, in milliseconds; without it the deadline of the class applies.
    pub wait_ms: String,
    /// Header that is `1` for a retry.
    pub retry: String,
    /// Header with the rank of the request.
    pub rank: String,
    /// Header with the memory of the request, in kB.
    pub memory_kb: String,
    /// Header with the id of the request, 16 hex digits; without it an id is generated.
    pub id: String,
    /// Header with the idempotency key, quoted or not; required by keyed classes.
    pub token: String,
}

impl HeaderNames {
    /// The names of all headers.
    pub fn all(&self) -> [&str; 8] {
        let Self { tenant, caller, wait_ms, retry, rank, memory_kb, id, token } = self;
        [tenant, caller, wait_ms, retry, rank, memory_kb, id, token].map(String::as_str)
    }
}

impl Default for HeaderNames {
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
            headers: HeaderNames::default(),
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

/// Reads the names that override the default ones.
fn read_headers(headers: &mut HeaderNames, mut block: Block<'_>) {
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
        block.problem("expected a different header for each value");
    }
    block.end();
}
