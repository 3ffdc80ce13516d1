//! The planned installation and what a tile server may spend in it, as `docs/CAPACITY.md` has them.

/// Tile servers.
pub const SERVERS: f64 = 1_100.0;
/// Zones, in four regions.
pub const ZONES: usize = 15;
/// Tenants of the settings.
pub const TENANTS: f64 = 110_000.0;
/// Tenants for each class of the settings: 10,000 classes.
pub const TENANTS_A_CLASS: u64 = 11;
/// Callers.
pub const CALLERS: f64 = 18_000.0;
/// What all control of a server may send, in bytes a second.
pub const BYTES_S: f64 = 4_000.0;
/// What it may take of a core, in percent.
pub const CPU_PERCENT: f64 = 4.2;
/// What a server may hold, in MB of 1,000,000 bytes.
pub const MEMORY_MB: f64 = 128.0;
/// What a server may add to 99 in 100 requests, in ms.
pub const ADDED_MS: f64 = 6.2;
/// Requests a second of one server: 220,000 by 1,100.
pub const REQUESTS_S: f64 = 200.0;
/// How long a change of the configuration may take to be in force everywhere, in seconds.
pub const CHANGE_S: f64 = 14.0;
