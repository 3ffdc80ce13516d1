//! The earlier name of `gradepin-testkit`, kept for scripts that call it.

use std::process::ExitCode;

fn main() -> ExitCode {
    gradepin_testkit::cli::main()
}
