//! A disk in memory for tests: it loses, tears and reorders what was not synced, fails as it is told to, and counts each
//! boundary at which a machine may crash.
//!
//! What it may do to unsynced bytes is what a file system may: any part of them is there or not, in pieces of a sector, and
//! the length may be durable before the bytes, which then are zeros. Names are durable once created; a removed file may
//! come back.

use crate::disk::{Disk, Segment};
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};

/// What is written in one piece.
const SECTOR: usize = 512;

/// How the disk fails, from now on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Fault {
    /// It doesn't.
    #[default]
    None,
    /// There is no room for more than so many bytes in all.
    Full(usize),
    /// Writing fails.
    WriteFails,
    /// Syncing fails, and what was to be synced is lost or not.
    SyncFails,
    /// Syncing doesn't return until the fault is over.
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
    /// The files after each boundary so far, while they are recorded.
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
    /// An empty one; what it loses is drawn from the seed.
    pub fn new(seed: u64) -> Self {
        Self::with(Files::default(), seed)
    }

    /// One with these files.
    pub fn with(files: Files, seed: u64) -> Self {
        let rng = Some(Pcg64Mcg::seed_from_u64(seed));
        Self { state: Arc::new((Mutex::new(State { files, rng, ..State::default() }), Condvar::new())) }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Fails like this from now on.
    pub fn fail(&self, fault: Fault) {
        self.state().fault = fault;
        self.state.1.notify_all();
    }

    /// Syncs that returned.
    pub fn syncs(&self) -> u64 {
        self.state().syncs
    }

    /// Keeps the files at each boundary from now on.
    pub fn record(&self) {
        self.state().boundaries = Some(Vec::new());
    }

    /// The files at each boundary since the last call.
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

    /// Names and lengths of what is there, unsynced bytes included.
    pub fn lengths(&self) -> Vec<(String, usize)> {
        let state = self.state();
        let there = state.files.0.iter().filter(|(_, file)| !file.removed);
        there.map(|(name, file)| (name.clone(), file.durable.len() + file.pending.len())).collect()
    }
}

impl Files {
    /// What a crash at this moment leaves: any part of what was not synced.
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

    /// All bytes are there: what the end of a process leaves, while the machine goes on.
    pub fn killed(&self) -> Files {
        let there = self.0.iter().filter(|(_, file)| !file.removed);
        let files = there.map(|(name, file)| {
            let durable = [&file.durable[..], &file.pending].concat();
            (name.clone(), SimFile { durable, ..SimFile::default() })
        });
        Files(files.collect())
    }
}

/// A part of bytes that were not synced.
fn survivors(pending: &[u8], rng: &mut Pcg64Mcg) -> Vec<u8> {
    let cut = |rng: &mut Pcg64Mcg| (rng.next_u64() % (pending.len() as u64 + 1)) as usize;
    match rng.next_u64() % 4 {
        0 => Vec::new(),
        1 => pending.to_vec(),
        2 => pending[..cut(rng)].to_vec(),
        // The length is there, some sectors are not.
        _ => {
            let mut left = pending[..cut(rng)].to_vec();
            for sector in left.chunks_mut(SECTOR) {
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
        let room = match state.fault {
            Fault::Full(most) => most.saturating_sub(state.bytes()),
            _ => usize::MAX,
        };
        let taken = bytes.len().min(room);
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
                // The system takes what it could not write for clean: it may be lost, and no later sync tells.
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
