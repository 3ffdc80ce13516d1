//! Serves admission controllers to the simulator on standard input and output.

use std::process::ExitCode;

fn main() -> ExitCode {
    gradepin_simulator_adapter::main()
}
