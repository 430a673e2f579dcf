//! Runs a gateway.

use std::process;

use peargap_adapters::command;
use peargap_adapters::logs;
use peargap_adapters::signals;
use peargap_gateway::host;
use peargap_gateway::settings;

const DEFAULT_SETTINGS: &str = "peargap-gateway.ini";
const PROGRAM: &str = "peargap-gateway";

fn main() -> process::ExitCode {
    let settings = match command::load(PROGRAM, DEFAULT_SETTINGS, settings::load) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    match run(settings) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{PROGRAM}: {error}");
            process::ExitCode::FAILURE
        }
    }
}

fn run(settings: settings::Settings) -> Result<(), Box<dyn std::error::Error>> {
    logs::init(PROGRAM, settings.log_level, settings.log_format)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let token = signals::listen()?;
        host::run(settings, token).await?;
        Ok(())
    })
}
