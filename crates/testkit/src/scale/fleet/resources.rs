//! Resource limits and usage of a run. Descriptors, memory and processes are checked before anything starts, so that a run
//! without enough of them doesn't begin.

use crate::fleet::memory_of;
use rustix::process::{Resource, getrlimit};
use serde::Serialize;

/// Memory limit of a run, in bytes.
pub const MAX_MEMORY_BYTES: u64 = 12 << 30;
/// Process limit of a run, including this process.
pub const MAX_PROCESSES: usize = 300;
/// Descriptors of a host beside the sockets of its servers: standard streams, event queue, files being read.
const HOST_DESCRIPTORS: u64 = 32;
/// Estimated memory of a hollow server without its knowledge of others, in bytes. This and the memory per pair are measured
/// at 12 to 300 servers, plus half as much again.
const BYTES_PER_SERVER: u64 = 1_500_000;
/// Estimated memory per pair of servers, in bytes: a counter row, a member, a replay window.
const BYTES_PER_PAIR: u64 = 1_500;
/// Estimated memory of a real daemon, or of a host without its servers, in bytes.
const BYTES_PER_PROCESS: u64 = 30 << 20;

/// Numbers of servers and processes of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequiredResources {
    /// Number of hollow servers.
    pub hollow: usize,
    /// Number of real daemons.
    pub real: usize,
    /// Number of host processes.
    pub hosts: usize,
}

/// Available resources.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Available {
    /// Descriptor limit of a process.
    pub descriptors: u64,
    /// Available memory, in bytes.
    pub memory: u64,
    /// Process limit.
    pub processes: u64,
}

/// Resource that a run has too little of.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum InsufficientResources {
    /// Descriptors.
    #[error(
        "a host needs {needed} descriptors for its servers' sockets, and may have {have}: raise ulimit -n, or take more --processes"
    )]
    Descriptors {
        /// Descriptors required by a host.
        needed: u64,
        /// Descriptor limit.
        have: u64,
    },
    /// Memory.
    #[error(
        "{servers} servers need about {needed_mb} MB of memory, and {have_mb} MB may be used: take smaller --sizes"
    )]
    Memory {
        /// Number of servers.
        servers: usize,
        /// Required memory in MB.
        needed_mb: u64,
        /// Available memory or limit of a run, in MB.
        have_mb: u64,
    },
    /// Processes.
    #[error("the run needs {needed} processes, and may have {have}: take fewer --processes")]
    Processes {
        /// Required processes: hosts, daemons and this one.
        needed: usize,
        /// Process limit.
        have: u64,
    },
}

impl RequiredResources {
    /// Checks that the resources suffice.
    pub fn check(&self, available: &Available) -> Result<(), InsufficientResources> {
        let a_host = self.hollow.div_ceil(self.hosts.max(1)) as u64 + HOST_DESCRIPTORS;
        if a_host > available.descriptors {
            return Err(InsufficientResources::Descriptors { needed: a_host, have: available.descriptors });
        }
        let processes = self.processes();
        let have = available.processes.min(MAX_PROCESSES as u64);
        if processes as u64 > have {
            return Err(InsufficientResources::Processes { needed: processes, have });
        }
        let servers = self.hollow + self.real;
        let needed = self.memory();
        let have = available.memory.min(MAX_MEMORY_BYTES);
        if needed > have {
            let (needed_mb, have_mb) = (needed >> 20, have >> 20);
            return Err(InsufficientResources::Memory { servers, needed_mb, have_mb });
        }
        Ok(())
    }

    /// Number of processes: this one, hosts and daemons.
    pub fn processes(&self) -> usize {
        1 + self.hosts + self.real
    }

    fn memory(&self) -> u64 {
        let servers = (self.hollow + self.real) as u64;
        servers * (BYTES_PER_SERVER + servers * BYTES_PER_PAIR) + self.processes() as u64 * BYTES_PER_PROCESS
    }
}

impl Available {
    /// Current resources of the machine; unlimited where they can't be read.
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

/// Peak resource usage of a run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Used {
    /// Processes.
    pub processes: usize,
    /// Peak resident memory of all processes, in bytes.
    pub memory: u64,
    /// Peak number of open descriptors of all processes.
    pub descriptors: usize,
    /// CPU usage of all processes, in cores.
    pub cores: f64,
}

impl Used {
    /// Updates the peaks with the current usage of these processes.
    pub fn update(&mut self, pids: &[u32]) {
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

/// CPU time of the running threads of a process so far, in nanoseconds. Uses the scheduler statistics where available, since
/// ticks of 10 ms are too coarse for the cost of gossip.
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
