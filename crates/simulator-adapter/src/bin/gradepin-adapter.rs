//! The former name of `gradepin-simulator-adapter`, kept for scripts that call it.

use std::process::ExitCode;

fn main() -> ExitCode {
    gradepin_simulator_adapter::main()
}
