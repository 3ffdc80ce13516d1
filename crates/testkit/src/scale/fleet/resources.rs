//! What a run may use and what it used: descriptors, memory and processes are looked at before anything starts, so that a
//! run that can't end well doesn't begin.

use crate::fleet::memory_of;
use rustix::process::{Resource, getrlimit};
use serde::Serialize;

/// The most that a run may use of the machine's memory.
pub const MOST_MEMORY: u64 = 12 << 30;
/// And of processes, this one among them.
pub const MOST_PROCESSES: usize = 300;
/// Descriptors of a host beside its servers' sockets: standard streams, the queue of events, files being read.
const DESCRIPTORS_BESIDE: u64 = 32;
/// Memory of a hollow server by itself, and for each other server that it knows: a row of counts, a member, a window against
/// replays. Taken from runs at 12 to 300 servers, and a half more.
const BYTES_A_SERVER: u64 = 1_500_000;
const BYTES_A_PAIR: u64 = 1_500;
/// Memory of a process beside its servers, and of a real daemon.
const BYTES_A_PROCESS: u64 = 30 << 20;

/// What a run asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Wanted {
    /// Hollow servers.
    pub hollow: usize,
    /// Real daemons.
    pub real: usize,
    /// Host processes.
    pub hosts: usize,
}

/// What there is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Available {
    /// Descriptors of a process.
    pub descriptors: u64,
    /// Bytes of memory that no process has.
    pub memory: u64,
    /// Processes that may be started yet.
    pub processes: u64,
}

/// Why a run can't begin.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Short {
    /// Of descriptors.
    #[error(
        "a host needs {needed} descriptors for its servers' sockets, and may have {have}: raise ulimit -n, or take more --processes"
    )]
    Descriptors {
        /// What a host needs.
        needed: u64,
        /// What it may have.
        have: u64,
    },
    /// Of memory.
    #[error(
        "{servers} servers need about {needed_mb} MB of memory, and {have_mb} MB may be used: take smaller --sizes"
    )]
    Memory {
        /// In all.
        servers: usize,
        /// What they need.
        needed_mb: u64,
        /// What the machine has free, or what a run may use at the most.
        have_mb: u64,
    },
    /// Of processes.
    #[error("the run needs {needed} processes, and may have {have}: take fewer --processes")]
    Processes {
        /// Hosts, daemons and this one.
        needed: usize,
        /// What may be.
        have: u64,
    },
}

impl Wanted {
    /// Whether there is room for it.
    pub fn check(&self, available: &Available) -> Result<(), Short> {
        let a_host = self.hollow.div_ceil(self.hosts.max(1)) as u64 + DESCRIPTORS_BESIDE;
        if a_host > available.descriptors {
            return Err(Short::Descriptors { needed: a_host, have: available.descriptors });
        }
        let processes = self.processes();
        let have = available.processes.min(MOST_PROCESSES as u64);
        if processes as u64 > have {
            return Err(Short::Processes { needed: processes, have });
        }
        let servers = self.hollow + self.real;
        let needed = self.memory();
        let have = available.memory.min(MOST_MEMORY);
        if needed > have {
            let (needed_mb, have_mb) = (needed >> 20, have >> 20);
            return Err(Short::Memory { servers, needed_mb, have_mb });
        }
        Ok(())
    }

    /// This process, hosts and daemons.
    pub fn processes(&self) -> usize {
        1 + self.hosts + self.real
    }

    fn memory(&self) -> u64 {
        let servers = (self.hollow + self.real) as u64;
        servers * (BYTES_A_SERVER + servers * BYTES_A_PAIR) + self.processes() as u64 * BYTES_A_PROCESS
    }
}

impl Available {
    /// What the machine has now; what can't be read isn't held to be short.
    pub fn now() -> Self {
        let descriptors = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
        let processes = getrlimit(Resource::Nproc).current.unwrap_or(u64::MAX);
        Self { descriptors, memory: free_memory().unwrap_or(u64::MAX), processes }
    }
}

fn free_memory() -> Option<u64> {
    let text = std::fs::read_to_string("/proc/meminfo").ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("MemAvailable:"))?;
    Some(line.split_whitespace().next()?.parse::<u64>().ok()? * 1024)
}

/// What a run used.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Used {
    /// Processes.
    pub processes: usize,
    /// Resident memory of them all at the most, in bytes.
    pub memory: u64,
    /// Descriptors of them all.
    pub descriptors: usize,
    /// CPU of them all, as parts of a core.
    pub cores: f64,
}

impl Used {
    /// Takes in what these processes hold now.
    pub fn look(&mut self, pids: &[u32]) {
        let memory = pids.iter().filter_map(|pid| memory_of(*pid, "VmRSS")).sum();
        self.memory = self.memory.max(memory);
        let descriptors = pids.iter().filter_map(|pid| descriptors_of(*pid)).sum();
        self.descriptors = self.descriptors.max(descriptors);
        self.processes = self.processes.max(pids.len());
    }
}

fn descriptors_of(pid: u32) -> Option<usize> {
    Some(std::fs::read_dir(format!("/proc/{pid}/fd")).ok()?.count())
}

/// The CPU that a process used so far, in nanoseconds, of all its threads that run still. To the nanosecond, where the system
/// tells it; its table of ticks of 10 ms is too coarse for what a server needs to hear of others.
pub fn cpu_ns_of(pid: u32) -> Option<u64> {
    let tasks = std::fs::read_dir(format!("/proc/{pid}/task")).ok()?;
    let of_task = |task: std::fs::DirEntry| {
        let text = std::fs::read_to_string(task.path().join("schedstat")).ok()?;
        text.split_whitespace().next()?.parse::<u64>().ok()
    };
    let sum: u64 = tasks.filter_map(Result::ok).filter_map(of_task).sum();
    let coarse = || crate::fleet::cpu_of(pid).map(|cpu| cpu.as_nanos() as u64);
    if sum > 0 { Some(sum) } else { coarse() }
}

#[cfg(test)]
mod tests;
