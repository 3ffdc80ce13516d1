//! A stand-in for what starts the operators' processes: it replaces one when the daemon's own command asks it to, starts one
//! that ended again, with the version that the fleet wants it to have, and writes down when each began to be out.

use super::play::ask_text;
use crate::fleet::Fleet;
use std::io;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// A process that ended is started again after this.
const AGAIN: Duration = Duration::from_millis(400);
/// A server that was out for so long without being asked is known to be.
const KNOWN: Duration = Duration::from_millis(4_000);

/// A server began to be out by what was agreed.
#[derive(Debug, Clone)]
pub struct Began {
    /// When, from the rig's begin.
    pub at: Duration,
    /// Which.
    pub server: usize,
    /// To which version.
    pub version: String,
    /// Who was out then by what was agreed, this one among them, and who had been so otherwise for a while.
    pub agreed: Vec<usize>,
    /// See `agreed`.
    pub unplanned: Vec<usize>,
}

#[derive(Debug, Clone, Default)]
struct Seen {
    /// When it is to be killed, if it doesn't end before; and what is started then.
    ends: Option<(Instant, String)>,
    starts: Option<(Instant, String)>,
    /// Since when it is off the list, and whether that was agreed.
    out: Option<(Instant, bool)>,
}

/// The stand-in.
pub struct Supervisor {
    folder: PathBuf,
    begin: Instant,
    seen: Vec<Seen>,
    /// Servers that nobody is to start: somebody killed them and will say when.
    pub held: Vec<bool>,
    /// Each beginning.
    pub began: Vec<Began>,
    /// Settings files of versions that are bad in a way of their own.
    usual: Vec<Option<PathBuf>>,
}

/// One that turns every keyed request away, since its store can't be opened; and one that ends at its start.
pub const NO_SAVES: &str = "v-no-saves";
/// See `NO_SAVES`.
pub const CRASHES: &str = "v-crashes";

impl Supervisor {
    /// For these servers, which run.
    pub fn new(fleet: &Fleet, folder: &Path, begin: Instant) -> Self {
        let servers = fleet.nodes.len();
        Self {
            folder: folder.into(),
            begin,
            seen: vec![Seen::default(); servers],
            held: vec![false; servers],
            began: Vec::new(),
            usual: fleet.nodes.iter().map(|node| node.own.clone()).collect(),
        }
    }

    /// Looks after all of them; to be called again and again.
    pub fn look(&mut self, fleet: &mut Fleet) -> io::Result<()> {
        let now = Instant::now();
        let ready = fleet.control.roster().ready(now, Duration::ZERO);
        for n in 0..self.seen.len() {
            let listed = ready.contains(&fleet.nodes[n].name);
            let seen = &mut self.seen[n];
            if !listed {
                seen.out.get_or_insert((now, false));
            } else if seen.ends.is_none() && seen.starts.is_none() {
                seen.out = None;
            }
            let file = self.folder.join(format!("{}.wanted", fleet.nodes[n].name));
            if let Ok(version) = std::fs::read_to_string(&file) {
                std::fs::remove_file(&file)?;
                self.replace(fleet, n, version.trim().to_string(), now);
            }
            self.next(fleet, n, now)?;
        }
        Ok(())
    }

    fn replace(&mut self, fleet: &mut Fleet, n: usize, version: String, now: Instant) {
        self.seen[n].out = Some((now, true));
        let out = |agreed: bool| {
            let of = |(n, seen): (usize, &Seen)| {
                let (since, by) = seen.out?;
                (by == agreed && (by || now.duration_since(since) >= KNOWN)).then_some(n)
            };
            self.seen.iter().enumerate().filter_map(of).collect::<Vec<usize>>()
        };
        let (agreed, unplanned) = (out(true), out(false));
        let (at, server) = (now.duration_since(self.begin), n);
        self.began.push(Began { at, server, version: version.clone(), agreed, unplanned });
        fleet.nodes[n].terminate();
        // As the platform does: told, and killed when its time is up.
        self.seen[n].ends = Some((now + fleet.nodes[n].stop(), version));
    }

    fn next(&mut self, fleet: &mut Fleet, n: usize, now: Instant) -> io::Result<()> {
        if fleet.nodes[n].crashed() {
            fleet.nodes[n].kill();
        }
        let up = fleet.nodes[n].is_up();
        let seen = &mut self.seen[n];
        if let Some((at, version)) = seen.ends.clone()
            && (now >= at || !up)
        {
            fleet.nodes[n].kill();
            (seen.ends, seen.starts) = (None, Some((now + Duration::from_millis(100), version)));
            return Ok(());
        }
        if !up && seen.starts.is_none() && !self.held[n] {
            let version = self.wanted(fleet, n);
            self.seen[n].starts = Some((now + AGAIN, version));
        }
        if let Some((_, version)) = self.seen[n].starts.take_if(|(at, _)| now >= *at) {
            // What is wanted may have changed while it was down.
            let wanted = self.wanted_now(fleet, n).unwrap_or(version);
            self.start(fleet, n, wanted)?;
        }
        Ok(())
    }

    fn wanted(&self, fleet: &Fleet, n: usize) -> String {
        self.wanted_now(fleet, n).unwrap_or_else(|| fleet.nodes[n].version.clone())
    }

    /// The version that any other server says it shall have.
    fn wanted_now(&self, fleet: &Fleet, n: usize) -> Option<String> {
        let name = &fleet.nodes[n].name;
        let others = fleet.nodes.iter().enumerate().filter(|(other, _)| *other != n && !self.held[*other]);
        others.take(4).find_map(|(_, other)| ask_text(other.admin(), &format!("/fleet/wanted?name={name}")))
    }

    fn start(&mut self, fleet: &mut Fleet, n: usize, version: String) -> io::Result<()> {
        let node = &mut fleet.nodes[n];
        node.own = self.usual[n].clone();
        if let Some(usual) = &self.usual[n] {
            let text = std::fs::read_to_string(usual)?;
            let name = &node.name;
            let bad = match version.as_str() {
                // Where a file stands no folder can be made.
                NO_SAVES => Some(text.replace(&format!("{name}.store"), &format!("{name}.json/x"))),
                CRASHES => Some("nonsense 1\n".to_string()),
                _ => None,
            };
            if let Some(bad) = bad {
                let path = usual.with_extension("bad.kdl");
                std::fs::write(&path, bad)?;
                node.own = Some(path);
            }
        }
        node.version = version;
        node.spawn()?;
        Ok(())
    }

    /// Whether all are on the list with this version, or with any where none is named.
    pub fn all_have(&self, fleet: &Fleet, version: Option<&str>) -> bool {
        let ready = fleet.control.roster().ready(Instant::now(), Duration::ZERO);
        fleet
            .nodes
            .iter()
            .all(|node| ready.contains(&node.name) && version.is_none_or(|version| node.version == version))
    }
}
