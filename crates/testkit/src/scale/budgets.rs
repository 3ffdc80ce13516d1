//! Planned installation and resource budgets of a tile server in it, as stated in `docs/CAPACITY.md`.

/// Number of tile servers.
pub const SERVERS: f64 = 1_100.0;
/// Number of zones, in four regions.
pub const ZONES: usize = 15;
/// Number of tenants in the settings.
pub const TENANTS: f64 = 110_000.0;
/// Tenants per class in the settings, which gives 10,000 classes.
pub const TENANTS_A_CLASS: u64 = 11;
/// Number of client proxies.
pub const CALLERS: f64 = 18_000.0;
/// Budget for control traffic sent by a server, in bytes per second.
pub const BYTES_S: f64 = 4_000.0;
/// CPU budget for control, in percent of a core.
pub const CPU_PERCENT: f64 = 4.2;
/// Memory budget of a server, in MB of 1,000,000 bytes.
pub const MEMORY_MB: f64 = 128.0;
/// Budget for the 99th percentile of added latency, in ms.
pub const ADDED_MS: f64 = 6.2;
/// Requests per second and server: 220,000 over 1,100 servers.
pub const REQUESTS_S: f64 = 200.0;
/// Budget for the time until a configuration change is in force everywhere, in seconds.
pub const CHANGE_S: f64 = 14.0;
