//! Starts the agent.

use std::process;

fn main() -> process::ExitCode {
    peargap_agent::run()
}
