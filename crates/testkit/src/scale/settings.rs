//! `gradepin-testkit scale settings`: cost of a real server by the classes and tenants of its settings.

use super::budgets::{CPU_PERCENT, MEMORY_MB, TENANTS};
use super::figure::{Budget, Claim, Figure};
use super::gaps::{Gaps, HealthMonitor};
use super::options::{Options, check_interrupted, check_resources, progress, wait};
use super::report::Report;
use super::server::{Reload, Server, ServerSpec};
use crate::{fleet, interrupt};
use clap::Args;
use serde_json::{Value, json};
use std::error::Error;
use std::path::PathBuf;
use std::sync::atomic::AtomicBool;
use std::thread;
use std::time::Duration;

/// Default sizes, in tenants, with one class per eleven tenants.
const SIZES: [u64; 5] = [11, 110, 1_100, 11_000, 110_000];
/// Memory of a run beside the server, in MB: the configuration as values and as text.
const MEMORY_NEEDED_MB: u64 = 600;
const DESCRIPTORS: u64 = 64;
/// Rate of the planned 1,900 changes per day, per second.
const CHANGES_S: f64 = 1_900.0 / 86_400.0;

/// Arguments of the command.
#[derive(Debug, Args)]
pub struct SettingsArgs {
    /// Common arguments; sizes are tenants, with one class per eleven tenants
    #[command(flatten)]
    pub options: Options,
    /// Seconds without requests, to measure idle CPU time
    #[arg(long, default_value_t = 5.0)]
    pub idle: f64,
    /// Path of the daemon's program; by default the one beside this program. An older build allows comparison
    #[arg(long)]
    pub daemon: Option<PathBuf>,
}

/// Results for one size.
struct Row {
    start: Duration,
    memory_mb: f64,
    peak_mb: f64,
    idle_percent: f64,
    file_bytes: u64,
    quiet: Gaps,
    one: (Gaps, Reload),
    all: (Gaps, Reload),
}

/// Runs the measurements; returns `false` if a budget that is claimed to hold doesn't.
pub fn run(args: &SettingsArgs) -> Result<bool, Box<dyn Error>> {
    let end = interrupt::flag()?;
    check_resources(DESCRIPTORS, MEMORY_NEEDED_MB)?;
    let daemon = args.daemon.clone().map_or_else(fleet::daemon, Ok)?;
    let sizes = args.options.sizes_or(&SIZES);
    let bar = progress(sizes.len(), "settings");
    let mut table = Table::new();
    for tenants in sizes {
        check_interrupted(&end)?;
        bar.set_message(format!("{tenants} tenants"));
        let spec = ServerSpec { daemon: &daemon, tenants, sockets: 1_024, seed: args.options.seed };
        table.add(tenants, &measure(&spec, args.idle, &end)?);
        bar.inc(1);
    }
    bar.finish_and_clear();
    args.options.finish(&Report {
        command: "settings",
        sizes_of: "tenants, with a class for each eleven",
        target: args.options.target_or(TENANTS),
        seed: args.options.seed,
        figures: table.figures(),
        not_scored: None,
    })
}

fn measure(spec: &ServerSpec<'_>, idle_s: f64, end: &AtomicBool) -> Result<Row, Box<dyn Error>> {
    let mut server = Server::start(spec)?;
    let start = server.restart()?;
    check_interrupted(end)?;
    wait(end, 0.5)?;
    let before = server.cpu();
    wait(end, idle_s)?;
    let idle_percent = 100.0 * server.cpu().saturating_sub(before).as_secs_f64() / idle_s;
    let memory_mb = server.memory_mb();
    let file_bytes = server.node().config_bytes()?;
    let monitor = HealthMonitor::start(server.node().address)?;
    wait(end, idle_s.min(1.0))?;
    let quiet = monitor.stop()?;
    check_interrupted(end)?;
    let one = reload(&server, |settings| change(settings, 1))?;
    check_interrupted(end)?;
    let all = reload(&server, |settings| change(settings, usize::MAX))?;
    let peak_mb = server.peak_mb();
    Ok(Row { start, memory_mb, peak_mb, idle_percent, file_bytes, quiet, one, all })
}

/// Changes the quotas of up to `count` tenants, from the last one, which requests don't use.
fn change(config: &mut Value, count: usize) {
    let Some(tenants) = config["settings"]["customers"].as_array_mut() else { return };
    for tenant in tenants.iter_mut().rev().take(count) {
        let quota = tenant["quota_rps"].as_f64().unwrap_or(0.0);
        tenant["quota_rps"] = json!(quota + 1.0);
    }
}

fn reload(server: &Server, change: impl FnOnce(&mut Value)) -> Result<(Gaps, Reload), Box<dyn Error>> {
    server.node().edit(change)?;
    let monitor = HealthMonitor::start(server.node().address)?;
    thread::sleep(Duration::from_millis(100));
    let reload = server.reload();
    thread::sleep(Duration::from_millis(100));
    let gaps = monitor.stop()?;
    Ok((gaps, reload?))
}

/// Figures under construction.
struct Table {
    start: Figure,
    memory: Figure,
    peak: Figure,
    idle: Figure,
    bytes: Figure,
    files: Figure,
    quiet: Figure,
    one: Figure,
    one_taken: Figure,
    one_took: Figure,
    all: Figure,
    all_taken: Figure,
}

impl Table {
    fn new() -> Self {
        let at_most = |limit, claim| Budget::at_most(limit, claim);
        Self {
            start: Figure::new("settings.start", "from the start until health is good", "s"),
            memory: Figure::new("settings.memory", "resident memory", "MB")
                .within(at_most(MEMORY_MB, Claim::Holds)),
            peak: Figure::new(
                "settings.memory-at-reload",
                "resident memory at the most, reloads included",
                "MB",
            )
            .within(at_most(MEMORY_MB, Claim::Holds)),
            idle: Figure::new("settings.idle-cpu", "CPU without requests", "% of a core")
                .within(at_most(CPU_PERCENT, Claim::Holds)),
            bytes: Figure::new("settings.file", "the configuration as one file", "B"),
            files: Figure::new("settings.bytes-as-files", "1,900 changes a day as whole files", "B/s")
                .within(at_most(super::budgets::BYTES_S, Claim::Fails)),
            quiet: Figure::new(
                "settings.gap-quiet",
                "longest wait for a health answer, nothing reloaded",
                "ms",
            ),
            one: Figure::new("settings.gap-one", "the same beside a reload with one changed tenant", "ms"),
            one_taken: Figure::new("settings.taken-one", "whether that reload came into force", "of 1")
                .within(Budget::at_least(1.0, Claim::Fails)),
            one_took: Figure::new(
                "settings.took-one",
                "from the signal until it was in force or turned down",
                "s",
            ),
            all: Figure::new("settings.gap-all", "the same beside a reload with all tenants changed", "ms"),
            all_taken: Figure::new("settings.taken-all", "whether that reload came into force", "of 1")
                .within(Budget::at_least(1.0, Claim::Fails)),
        }
    }

    fn add(&mut self, size: u64, row: &Row) {
        let ms = |time: Duration| time.as_secs_f64() * 1e3;
        let taken = |reload: &Reload| f64::from(u8::from(reload.accepted));
        self.start.add(size, row.start.as_secs_f64());
        self.memory.add(size, row.memory_mb);
        self.peak.add(size, row.peak_mb);
        self.idle.add(size, row.idle_percent);
        self.bytes.add(size, row.file_bytes as f64);
        self.files.add(size, row.file_bytes as f64 * CHANGES_S);
        self.quiet.add(size, ms(row.quiet.longest));
        self.one.add(size, ms(row.one.0.longest));
        self.one_taken.add(size, taken(&row.one.1));
        self.one_took.add(size, row.one.1.took.as_secs_f64());
        self.all.add(size, ms(row.all.0.longest));
        self.all_taken.add(size, taken(&row.all.1));
    }

    fn figures(self) -> Vec<Figure> {
        vec![
            self.start,
            self.memory,
            self.peak,
            self.idle,
            self.bytes,
            self.files,
            self.quiet,
            self.one,
            self.one_taken,
            self.one_took,
            self.all,
            self.all_taken,
        ]
    }
}
