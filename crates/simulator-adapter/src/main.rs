//! The admission module on the simulator's wire.

use std::process::ExitCode;

fn main() -> ExitCode {
    gradepin_simulator_adapter::main()
}
