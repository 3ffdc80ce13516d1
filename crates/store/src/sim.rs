//! A disk in memory for tests: it loses, tears and reorders unsynced bytes, fails on request, and records each point at which
//! a machine may crash.
//!
//! It may do to unsynced bytes what a file system may: any sector of them is written or not, and the length may become
//! durable before the bytes, which are zeros then. Names are durable once created; a removed file may reappear.

use crate::disk::{Disk, Segment};
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};

/// Bytes that are written atomically.
const SECTOR_BYTES: usize = 512;

/// How the disk fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Fault {
    /// It doesn't.
    #[default]
    None,
    /// It holds at most this many bytes.
    Full(usize),
    /// Writing fails.
    WriteFails,
    /// Syncing fails, and the unsynced bytes may be lost.
    SyncFails,
    /// Syncing blocks until the fault is cleared.
    SyncHangs,
    /// No file can be made, changed or removed.
    ReadOnly,
}

#[derive(Debug, Clone, Default)]
struct SimFile {
    durable: Vec<u8>,
    pending: Vec<u8>,
    /// Removed, but not durably: a crash may bring it back.
    removed: bool,
}

/// The files at one moment.
#[derive(Debug, Clone, Default)]
pub struct Files(BTreeMap<String, SimFile>);

#[derive(Debug, Default)]
struct State {
    files: Files,
    fault: Fault,
    /// The files at each crash point, while they are recorded.
    boundaries: Option<Vec<Files>>,
    rng: Option<Pcg64Mcg>,
    syncs: u64,
}

/// The disk; clones are the same one.
#[derive(Debug, Clone, Default)]
pub struct SimDisk {
    state: Arc<(Mutex<State>, Condvar)>,
}

impl SimDisk {
    /// An empty disk; the seed decides what it loses.
    pub fn new(seed: u64) -> Self {
        Self::with(Files::default(), seed)
    }

    /// A disk with these files.
    pub fn with(files: Files, seed: u64) -> Self {
        let rng = Some(Pcg64Mcg::seed_from_u64(seed));
        Self { state: Arc::new((Mutex::new(State { files, rng, ..State::default() }), Condvar::new())) }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the fault from now on.
    pub fn fail(&self, fault: Fault) {
        self.state().fault = fault;
        self.state.1.notify_all();
    }

    /// The number of successful syncs.
    pub fn syncs(&self) -> u64 {
        self.state().syncs
    }

    /// Records the files at each crash point from now on.
    pub fn record(&self) {
        self.state().boundaries = Some(Vec::new());
    }

    /// Takes the files at each crash point since the last call.
    pub fn boundaries(&self) -> Vec<Files> {
        self.state().boundaries.as_mut().map(std::mem::take).unwrap_or_default()
    }

    /// The files as they are now.
    pub fn files(&self) -> Files {
        self.state().files.clone()
    }

    /// Changes a file's durable bytes; false if there is no such file.
    pub fn damage(&self, name: &str, change: impl FnOnce(&mut Vec<u8>)) -> bool {
        let mut state = self.state();
        let file = state.files.0.get_mut(name);
        file.map(|file| change(&mut file.durable)).is_some()
    }

    /// Names and lengths of all files, unsynced bytes included.
    pub fn lengths(&self) -> Vec<(String, usize)> {
        let state = self.state();
        let there = state.files.0.iter().filter(|(_, file)| !file.removed);
        there.map(|(name, file)| (name.clone(), file.durable.len() + file.pending.len())).collect()
    }
}

impl Files {
    /// The files after a crash of the machine: any part of the unsynced bytes is lost.
    pub fn crash(&self, seed: u64) -> Files {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let files = self.0.iter().filter_map(|(name, file)| {
            if file.removed && rng.next_u64().is_multiple_of(2) {
                return None;
            }
            let mut durable = file.durable.clone();
            durable.extend(survivors(&file.pending, &mut rng));
            Some((name.clone(), SimFile { durable, ..SimFile::default() }))
        });
        Files(files.collect())
    }

    /// The files after the process was killed: all bytes are there.
    pub fn killed(&self) -> Files {
        let there = self.0.iter().filter(|(_, file)| !file.removed);
        let files = there.map(|(name, file)| {
            let durable = [&file.durable[..], &file.pending].concat();
            (name.clone(), SimFile { durable, ..SimFile::default() })
        });
        Files(files.collect())
    }
}

/// A random part of unsynced bytes.
fn survivors(pending: &[u8], rng: &mut Pcg64Mcg) -> Vec<u8> {
    let cut = |rng: &mut Pcg64Mcg| (rng.next_u64() % (pending.len() as u64 + 1)) as usize;
    match rng.next_u64() % 4 {
        0 => Vec::new(),
        1 => pending.to_vec(),
        2 => pending[..cut(rng)].to_vec(),
        // The length was written, some sectors were not.
        _ => {
            let mut left = pending[..cut(rng)].to_vec();
            for sector in left.chunks_mut(SECTOR_BYTES) {
                if rng.next_u64().is_multiple_of(2) {
                    sector.fill(0);
                }
            }
            left
        }
    }
}

impl State {
    fn boundary(&mut self) {
        if let Some(boundaries) = &mut self.boundaries {
            boundaries.push(self.files.clone());
        }
    }

    fn writable(&self) -> io::Result<()> {
        match self.fault {
            Fault::ReadOnly => Err(io::ErrorKind::ReadOnlyFilesystem.into()),
            Fault::WriteFails => Err(io::Error::other("input/output error")),
            _ => Ok(()),
        }
    }

    fn bytes(&self) -> usize {
        let there = self.files.0.values().filter(|file| !file.removed);
        there.map(|file| file.durable.len() + file.pending.len()).sum()
    }
}

impl Disk for SimDisk {
    fn list(&mut self) -> io::Result<Vec<String>> {
        let state = self.state();
        Ok(state.files.0.iter().filter(|(_, file)| !file.removed).map(|(name, _)| name.clone()).collect())
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        let state = self.state();
        let file = state.files.0.get(name).filter(|file| !file.removed).ok_or(io::ErrorKind::NotFound)?;
        Ok([&file.durable[..], &file.pending].concat())
    }

    fn create(&mut self, name: &str) -> io::Result<Box<dyn Segment>> {
        let mut state = self.state();
        state.writable()?;
        if state.files.0.get(name).is_some_and(|file| !file.removed) {
            return Err(io::ErrorKind::AlreadyExists.into());
        }
        state.files.0.insert(name.to_string(), SimFile::default());
        state.boundary();
        Ok(Box::new(SimSegment { disk: self.clone(), name: name.to_string() }))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.state();
        state.writable()?;
        let file = state.files.0.get_mut(name).filter(|file| !file.removed).ok_or(io::ErrorKind::NotFound)?;
        file.removed = true;
        state.boundary();
        Ok(())
    }
}

struct SimSegment {
    disk: SimDisk,
    name: String,
}

impl Segment for SimSegment {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.disk.state();
        state.writable()?;
        let capacity = match state.fault {
            Fault::Full(max_bytes) => max_bytes.saturating_sub(state.bytes()),
            _ => usize::MAX,
        };
        let taken = bytes.len().min(capacity);
        let file = state.files.0.get_mut(&self.name).ok_or(io::ErrorKind::NotFound)?;
        file.pending.extend(&bytes[..taken]);
        state.boundary();
        if taken < bytes.len() { Err(io::ErrorKind::StorageFull.into()) } else { Ok(()) }
    }

    fn sync(&mut self) -> io::Result<()> {
        let mut state = self.disk.state();
        while state.fault == Fault::SyncHangs {
            state = self.disk.state.1.wait(state).unwrap_or_else(PoisonError::into_inner);
        }
        let failed = state.fault == Fault::SyncFails;
        let mut rng = state.rng.take();
        if let Some(file) = state.files.0.get_mut(&self.name) {
            let pending = std::mem::take(&mut file.pending);
            match rng.as_mut().filter(|_| failed) {
                // The system marks pages that it could not write as clean: they may be lost, and a later sync succeeds.
                Some(rng) => file.durable.extend(survivors(&pending, rng)),
                None => file.durable.extend(pending),
            }
        }
        state.rng = rng;
        state.syncs += u64::from(!failed);
        state.boundary();
        if failed { Err(io::Error::other("input/output error")) } else { Ok(()) }
    }
}
