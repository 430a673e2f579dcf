//! The `peargap-agent` binary.

use std::process;

fn main() -> process::ExitCode {
    peargap_agent::run()
}
