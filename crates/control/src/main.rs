//! Runs a control host.

use std::process;

use peargap_adapters::command;
use peargap_adapters::deployment;
use peargap_adapters::logs;
use peargap_adapters::signals;
use peargap_control::host;
use peargap_control::settings;

const DEFAULT_SETTINGS: &str = "peargap-control.ini";
const PROGRAM: &str = "peargap-control";

fn main() -> process::ExitCode {
    command::run(PROGRAM, DEFAULT_SETTINGS, settings::load, run)
}

fn run(settings: settings::Settings) -> Result<(), Box<dyn std::error::Error>> {
    deployment::install_key(settings.deployment_key.clone());
    logs::init(PROGRAM, settings.log_level, settings.log_format)?;
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(async {
        let token = signals::listen()?;
        host::run(settings, token).await?;
        Ok(())
    })
}
