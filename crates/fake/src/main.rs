//! Simulated inference engine and simulated HTTP service, for development and tests.

mod cache;
mod engine;
mod length;
mod options;
mod orders;
mod report;
mod server;
mod service;
mod stream;

use std::process;

fn main() -> process::ExitCode {
    let options = match options::parse_options() {
        options::Parsed::Done => return process::ExitCode::SUCCESS,
        options::Parsed::Engine(options) => options::Mode::Engine(options),
        options::Parsed::Service(options) => options::Mode::Service(options),
        options::Parsed::Invalid(problem) => {
            eprintln!("peargap-fake: {problem}; see --help");
            return process::ExitCode::from(2);
        }
    };
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("peargap-fake: cannot start the async runtime: {error}");
            return process::ExitCode::FAILURE;
        }
    };
    let served = runtime.block_on(server::serve(options));
    match served {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("peargap-fake: {error}");
            process::ExitCode::FAILURE
        }
    }
}
