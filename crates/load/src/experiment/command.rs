//! Command line of `peargap-load experiment`.

use std::process;

/// Runs the experiments that the arguments ask for.
#[must_use]
pub fn run(arguments: pico_args::Arguments) -> process::ExitCode {
    drop(arguments);
    eprintln!("experiment: not built yet");
    process::ExitCode::from(2)
}
