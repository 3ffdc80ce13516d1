//! The border to files: what a log needs of a disk, and the real one.

use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// A folder on a disk, as a log sees it. Names are plain file names.
pub trait Disk: Send {
    /// All names.
    fn list(&mut self) -> io::Result<Vec<String>>;

    /// A whole file.
    fn read(&mut self, name: &str) -> io::Result<Vec<u8>>;

    /// A new, empty file, to be appended to. Its name is durable once this returns.
    fn create(&mut self, name: &str) -> io::Result<Box<dyn Segment>>;

    /// Removes a file.
    fn remove(&mut self, name: &str) -> io::Result<()>;
}

/// A file that is being written.
pub trait Segment: Send {
    /// Appends bytes. What is written is not durable yet, and where this fails some of it may be.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Makes all that was appended durable. After an error nothing of it can be relied on, and another call tells
    /// nothing: systems drop what they could not write (PostgreSQL's "fsyncgate", 2018).
    fn sync(&mut self) -> io::Result<()>;
}

/// The file whose lock says that a server uses the folder.
const LOCK: &str = "lock";

/// Why a folder can't be used.
#[derive(Debug, thiserror::Error)]
pub enum FolderError {
    /// Another process has its lock.
    #[error("{}: another server uses this folder", .0.display())]
    Locked(PathBuf),
    /// The system denies something.
    #[error("{}: {why}", path.display())]
    System {
        /// Which folder.
        path: PathBuf,
        /// What the system says.
        why: io::Error,
    },
}

/// A folder of files, held by a lock while this exists.
pub struct Folder {
    path: PathBuf,
    /// Its lock ends with it, also where the process is killed.
    _lock: Option<File>,
}

impl Folder {
    /// Takes a folder for writing; it is made if it isn't there.
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

    /// Looks into a folder without its lock, beside a server that uses it: only to read.
    pub fn look(path: &Path) -> Result<Self, FolderError> {
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
        Ok(Box::new(RealFile(file)))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        // Not made durable: a file that comes back after a crash is read again and found to be over.
        std::fs::remove_file(self.path.join(name))
    }
}

struct RealFile(File);

impl Segment for RealFile {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.0.write_all(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.0.sync_data()
    }
}
