//! The operations that the logs need from a disk, and their implementation on a real folder.

use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// A folder on a disk. All names are plain file names without a path.
pub trait Disk: Send {
    /// Lists the names of all files, in no particular order.
    fn list(&mut self) -> io::Result<Vec<String>>;

    /// Reads a complete file.
    fn read(&mut self, name: &str) -> io::Result<Vec<u8>>;

    /// Creates an empty file for appending. Its name is durable once this returns.
    fn create(&mut self, name: &str) -> io::Result<Box<dyn Segment>>;

    /// Removes a file.
    fn remove(&mut self, name: &str) -> io::Result<()>;
}

/// A file that is open for appending.
pub trait Segment: Send {
    /// Appends bytes, which become durable with the next [`Segment::sync`]. After an error any part of them may be written.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Makes all appended bytes durable. After an error none of the unsynced bytes can be relied on, even if a later sync
    /// succeeds: operating systems drop pages that they failed to write (PostgreSQL's "fsyncgate", 2018).
    fn sync(&mut self) -> io::Result<()>;
}

/// The file whose lock marks the folder as in use by a process.
const LOCK: &str = "lock";

/// Why a folder can't be used.
#[derive(Debug, thiserror::Error)]
pub enum FolderError {
    /// Another process holds the lock of this folder.
    #[error("{}: another server uses this folder", .0.display())]
    Locked(PathBuf),
    /// The operating system reported an error.
    #[error("{}: {why}", path.display())]
    System {
        /// The folder that could not be used.
        path: PathBuf,
        /// The error from the operating system.
        why: io::Error,
    },
}

/// A real folder. Its lock, if taken, is held while this value exists.
pub struct Folder {
    path: PathBuf,
    /// The operating system releases the lock when the process ends, even if it is killed.
    _lock: Option<File>,
}

impl Folder {
    /// Locks a folder for writing, and creates it if it is missing.
    pub fn open(path: &Path) -> Result<Self, FolderError> {
        let system = |why| FolderError::System { path: path.into(), why };
        std::fs::create_dir_all(path).map_err(system)?;
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(path.join(LOCK))
            .map_err(system)?;
        match lock.try_lock() {
            Ok(()) => Ok(Self { path: path.into(), _lock: Some(lock) }),
            Err(TryLockError::WouldBlock) => Err(FolderError::Locked(path.into())),
            Err(TryLockError::Error(why)) => Err(system(why)),
        }
    }

    /// Opens a folder for reading, without the lock: a server may be writing to it at the same time.
    pub fn open_read_only(path: &Path) -> Result<Self, FolderError> {
        std::fs::read_dir(path).map_err(|why| FolderError::System { path: path.into(), why })?;
        Ok(Self { path: path.into(), _lock: None })
    }

    fn sync_names(&self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}

impl Disk for Folder {
    fn list(&mut self) -> io::Result<Vec<String>> {
        let names = std::fs::read_dir(&self.path)?.map(|entry| Ok(entry?.file_name()));
        let names: io::Result<Vec<_>> = names.collect();
        Ok(names?.into_iter().filter_map(|name| name.into_string().ok()).collect())
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        std::fs::read(self.path.join(name))
    }

    fn create(&mut self, name: &str) -> io::Result<Box<dyn Segment>> {
        let file = OpenOptions::new().create_new(true).append(true).open(self.path.join(name))?;
        self.sync_names()?;
        Ok(Box::new(FolderFile(file)))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        // Not made durable: recovery ignores a file that reappears after a crash, as expired or superseded.
        std::fs::remove_file(self.path.join(name))
    }
}

struct FolderFile(File);

impl Segment for FolderFile {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.0.write_all(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.0.sync_data()
    }
}
