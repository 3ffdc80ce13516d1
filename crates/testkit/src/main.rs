//! The test kit of gradepin.

use std::process::ExitCode;

fn main() -> ExitCode {
    gradepin_testkit::cli::main()
}
