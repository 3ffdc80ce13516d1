//! A disk in memory for tests. It loses, tears and reorders unsynced bytes, fails on request, and records the files at each
//! point where a machine may crash.
//!
//! Unsynced bytes are treated as a file system may treat them: each sector is written or not, and the file length may become
//! durable before the bytes, which then read as zeros. A file name is durable once created. A removed file may reappear.

use crate::disk::{Disk, Segment};
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};

/// The unit of bytes that the disk writes atomically.
const SECTOR_BYTES: usize = 512;

/// How the disk currently fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Fault {
    /// The disk doesn't fail.
    #[default]
    None,
    /// All files together can have at most this many bytes; an append writes what fits and fails.
    Full(usize),
    /// Appending, creating and removing fail.
    WriteFails,
    /// Syncing fails, and any part of the unsynced bytes is lost.
    SyncFails,
    /// Syncing blocks until another fault is set.
    SyncHangs,
    /// The file system is read-only: no file can be created, changed or removed.
    ReadOnly,
}

#[derive(Debug, Clone, Default)]
struct SimFile {
    durable: Vec<u8>,
    pending: Vec<u8>,
    /// The file is removed, but not durably: a crash may restore it.
    removed: bool,
}

/// The content of a disk at one moment: all files with their durable and their unsynced bytes.
#[derive(Debug, Clone, Default)]
pub struct Files(BTreeMap<String, SimFile>);

#[derive(Debug, Default)]
struct State {
    files: Files,
    fault: Fault,
    /// The files at each crash point since the last call of `boundaries`; `None` while not recording.
    boundaries: Option<Vec<Files>>,
    rng: Option<Pcg64Mcg>,
    syncs: u64,
}

/// The simulated disk. Clones share its files and its fault.
#[derive(Debug, Clone, Default)]
pub struct SimDisk {
    state: Arc<(Mutex<State>, Condvar)>,
}

impl SimDisk {
    /// An empty disk. The seed determines which unsynced bytes a failed sync loses.
    pub fn new(seed: u64) -> Self {
        Self::with(Files::default(), seed)
    }

    /// A disk with these files; the seed as in [`SimDisk::new`].
    pub fn with(files: Files, seed: u64) -> Self {
        let rng = Some(Pcg64Mcg::seed_from_u64(seed));
        Self { state: Arc::new((Mutex::new(State { files, rng, ..State::default() }), Condvar::new())) }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the current fault, and wakes syncs that hang.
    pub fn fail(&self, fault: Fault) {
        self.state().fault = fault;
        self.state.1.notify_all();
    }

    /// The number of successful syncs since the disk was created.
    pub fn syncs(&self) -> u64 {
        self.state().syncs
    }

    /// Starts recording the files after each operation that changes them, as the points where a machine may crash.
    pub fn record(&self) {
        self.state().boundaries = Some(Vec::new());
    }

    /// Takes the files recorded since the last call, one for each crash point.
    pub fn boundaries(&self) -> Vec<Files> {
        self.state().boundaries.as_mut().map(std::mem::take).unwrap_or_default()
    }

    /// A copy of the files as they are now.
    pub fn files(&self) -> Files {
        self.state().files.clone()
    }

    /// Changes the durable bytes of a file; returns false if there is no such file.
    pub fn damage(&self, name: &str, change: impl FnOnce(&mut Vec<u8>)) -> bool {
        let mut state = self.state();
        let file = state.files.0.get_mut(name);
        file.map(|file| change(&mut file.durable)).is_some()
    }

    /// The names of all files and their lengths in bytes, unsynced bytes included.
    pub fn lengths(&self) -> Vec<(String, usize)> {
        let state = self.state();
        let existing = state.files.0.iter().filter(|(_, file)| !file.removed);
        existing.map(|(name, file)| (name.clone(), file.durable.len() + file.pending.len())).collect()
    }
}

impl Files {
    /// The files after a crash of the machine, which loses a random part of the unsynced bytes and restores some removed files.
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

    /// The files after the process was killed: no bytes are lost, since the operating system still has them.
    pub fn killed(&self) -> Files {
        let existing = self.0.iter().filter(|(_, file)| !file.removed);
        let files = existing.map(|(name, file)| {
            let durable = [&file.durable[..], &file.pending].concat();
            (name.clone(), SimFile { durable, ..SimFile::default() })
        });
        Files(files.collect())
    }
}

/// The random part of unsynced bytes that survives a crash or a failed sync.
fn survivors(pending: &[u8], rng: &mut Pcg64Mcg) -> Vec<u8> {
    let random_length = |rng: &mut Pcg64Mcg| (rng.next_u64() % (pending.len() as u64 + 1)) as usize;
    match rng.next_u64() % 4 {
        0 => Vec::new(),
        1 => pending.to_vec(),
        2 => pending[..random_length(rng)].to_vec(),
        // The file length was written, but some sectors were not.
        _ => {
            let mut kept = pending[..random_length(rng)].to_vec();
            for sector in kept.chunks_mut(SECTOR_BYTES) {
                if rng.next_u64().is_multiple_of(2) {
                    sector.fill(0);
                }
            }
            kept
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
        let existing = self.files.0.values().filter(|file| !file.removed);
        existing.map(|file| file.durable.len() + file.pending.len()).sum()
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
                // Operating systems mark pages that they failed to write as clean: the bytes may be lost although a later
                // sync succeeds.
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
