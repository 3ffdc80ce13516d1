//! Stand-in for the operators' process supervisor. It replaces a process when the daemon's rollout command asks for it,
//! restarts a process that ended with the version that the fleet wants, and records each planned replacement.

use super::play::ask_text;
use crate::fleet::Fleet;
use std::io;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// Delay before an ended process is restarted.
const RESTART_DELAY: Duration = Duration::from_millis(400);
/// An unplanned outage counts once it has lasted this long; the fleet needs the time to notice it.
const UNPLANNED_AFTER: Duration = Duration::from_millis(4_000);

/// Start of a planned replacement.
#[derive(Debug, Clone)]
pub struct Replacement {
    /// Time since the start of the run.
    pub at: Duration,
    /// Index of the replaced server.
    pub server: usize,
    /// New version.
    pub version: String,
    /// Servers out by plan at that time, this one included.
    pub agreed: Vec<usize>,
    /// Servers that had been out without a plan for at least `UNPLANNED_AFTER`.
    pub unplanned: Vec<usize>,
}

#[derive(Debug, Clone, Default)]
struct ServerState {
    /// Kill deadline of a process that is being replaced, and the version to start next.
    ends: Option<(Instant, String)>,
    starts: Option<(Instant, String)>,
    /// Since when the server has been missing from the ready list, and whether by plan.
    out: Option<(Instant, bool)>,
}

/// Stand-in supervisor of all servers of a fleet.
pub struct Supervisor {
    folder: PathBuf,
    begin: Instant,
    states: Vec<ServerState>,
    /// Servers that are not restarted: a fault killed them, and its end clears the mark.
    pub restart_blocked: Vec<bool>,
    /// All planned replacements so far.
    pub replacements: Vec<Replacement>,
    /// Regular settings file of each server; faulty versions replace it.
    settings_files: Vec<Option<PathBuf>>,
}

/// Version that rejects every keyed request because its store can't be opened.
pub const NO_SAVES: &str = "v-no-saves";
/// Version that exits during start-up.
pub const CRASHES: &str = "v-crashes";

impl Supervisor {
    /// Supervises the running servers of a fleet.
    pub fn new(fleet: &Fleet, folder: &Path, begin: Instant) -> Self {
        let servers = fleet.nodes.len();
        Self {
            folder: folder.into(),
            begin,
            states: vec![ServerState::default(); servers],
            restart_blocked: vec![false; servers],
            replacements: Vec::new(),
            settings_files: fleet.nodes.iter().map(|node| node.own.clone()).collect(),
        }
    }

    /// Handles replacement requests and ended processes; called repeatedly.
    pub fn supervise(&mut self, fleet: &mut Fleet) -> io::Result<()> {
        let now = Instant::now();
        let ready = fleet.control.roster().ready(now, Duration::ZERO);
        for n in 0..self.states.len() {
            let listed = ready.contains(&fleet.nodes[n].name);
            let state = &mut self.states[n];
            if !listed {
                state.out.get_or_insert((now, false));
            } else if state.ends.is_none() && state.starts.is_none() {
                state.out = None;
            }
            let file = self.folder.join(format!("{}.wanted", fleet.nodes[n].name));
            if let Ok(version) = std::fs::read_to_string(&file) {
                std::fs::remove_file(&file)?;
                self.replace(fleet, n, version.trim().to_string(), now);
            }
            self.advance(fleet, n, now)?;
        }
        Ok(())
    }

    fn replace(&mut self, fleet: &mut Fleet, n: usize, version: String, now: Instant) {
        self.states[n].out = Some((now, true));
        let out = |agreed: bool| {
            let matching = |(n, state): (usize, &ServerState)| {
                let (since, planned) = state.out?;
                (planned == agreed && (planned || now.duration_since(since) >= UNPLANNED_AFTER)).then_some(n)
            };
            self.states.iter().enumerate().filter_map(matching).collect::<Vec<usize>>()
        };
        let (agreed, unplanned) = (out(true), out(false));
        let (at, server) = (now.duration_since(self.begin), n);
        self.replacements.push(Replacement { at, server, version: version.clone(), agreed, unplanned });
        fleet.nodes[n].terminate();
        // Like the platform: SIGTERM first, then SIGKILL after the stop time.
        self.states[n].ends = Some((now + fleet.nodes[n].stop(), version));
    }

    fn advance(&mut self, fleet: &mut Fleet, n: usize, now: Instant) -> io::Result<()> {
        if fleet.nodes[n].crashed() {
            fleet.nodes[n].kill();
        }
        let up = fleet.nodes[n].is_up();
        let state = &mut self.states[n];
        if let Some((at, version)) = state.ends.clone()
            && (now >= at || !up)
        {
            fleet.nodes[n].kill();
            (state.ends, state.starts) = (None, Some((now + Duration::from_millis(100), version)));
            return Ok(());
        }
        if !up && state.starts.is_none() && !self.restart_blocked[n] {
            let version = self.wanted(fleet, n);
            self.states[n].starts = Some((now + RESTART_DELAY, version));
        }
        if let Some((_, version)) = self.states[n].starts.take_if(|(at, _)| now >= *at) {
            // The wanted version may have changed while the server was down.
            let wanted = self.wanted_now(fleet, n).unwrap_or(version);
            self.start(fleet, n, wanted)?;
        }
        Ok(())
    }

    fn wanted(&self, fleet: &Fleet, n: usize) -> String {
        self.wanted_now(fleet, n).unwrap_or_else(|| fleet.nodes[n].version.clone())
    }

    /// Version that the first answering of up to four other servers wants for server `n`.
    fn wanted_now(&self, fleet: &Fleet, n: usize) -> Option<String> {
        let name = &fleet.nodes[n].name;
        let others =
            fleet.nodes.iter().enumerate().filter(|(other, _)| *other != n && !self.restart_blocked[*other]);
        others.take(4).find_map(|(_, other)| ask_text(other.admin(), &format!("/fleet/wanted?name={name}")))
    }

    fn start(&mut self, fleet: &mut Fleet, n: usize, version: String) -> io::Result<()> {
        let node = &mut fleet.nodes[n];
        node.own = self.settings_files[n].clone();
        if let Some(settings) = &self.settings_files[n] {
            let text = std::fs::read_to_string(settings)?;
            let name = &node.name;
            let bad = match version.as_str() {
                // The path runs through a regular file, so the folder of the store can't be created.
                NO_SAVES => Some(text.replace(&format!("{name}.store"), &format!("{name}.json/x"))),
                CRASHES => Some("nonsense 1\n".to_string()),
                _ => None,
            };
            if let Some(bad) = bad {
                let path = settings.with_extension("bad.kdl");
                std::fs::write(&path, bad)?;
                node.own = Some(path);
            }
        }
        node.version = version;
        node.spawn()?;
        Ok(())
    }

    /// Whether all servers are ready, with `version` if one is given.
    pub fn all_have(&self, fleet: &Fleet, version: Option<&str>) -> bool {
        let ready = fleet.control.roster().ready(Instant::now(), Duration::ZERO);
        fleet
            .nodes
            .iter()
            .all(|node| ready.contains(&node.name) && version.is_none_or(|version| node.version == version))
    }
}
