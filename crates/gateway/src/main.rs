//! Runs a gateway.

use std::process;

use peargap_adapters::command;
use peargap_adapters::logs;
use peargap_adapters::signals;
use peargap_gateway::run;
use peargap_gateway::settings;

const DEFAULT_SETTINGS: &str = "peargap-gateway.ini";
const PROGRAM: &str = "peargap-gateway";

fn main() -> process::ExitCode {
    command::run(PROGRAM, DEFAULT_SETTINGS, settings::load, run)
}

fn run(settings: settings::Settings) -> Result<(), Box<dyn std::error::Error>> {
    logs::init(PROGRAM, settings.log_level, settings.log_format)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let token = signals::listen()?;
        run::run(settings, token).await?;
        Ok(())
    })
}
