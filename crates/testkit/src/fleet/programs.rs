//! The programs that drills start, as cargo builds them.

use std::io;
use std::path::PathBuf;

/// Finds the daemon's program in the folder of the running program or in its parent.
pub fn daemon() -> io::Result<PathBuf> {
    program("gradepin")
}

/// Finds the kit's program in the folder of the running program, which may be a test, or in its parent.
pub fn kit() -> io::Result<PathBuf> {
    program("gradepin-testkit")
}

fn program(name: &str) -> io::Result<PathBuf> {
    let own = std::env::current_exe()?;
    let folders = own.ancestors().skip(1).take(2);
    let found = folders.map(|folder| folder.join(name)).find(|path| path.is_file());
    found.ok_or_else(|| {
        io::Error::new(io::ErrorKind::NotFound, format!("no program {name} beside this one: build it first"))
    })
}
