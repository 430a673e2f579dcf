//! Connection options, merged from the settings file and the command line.

use core::net;
use std::path;

use peargap_adapters::settings;

use crate::command;

/// Addresses and credentials for calls to the control hosts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Options {
    pub(crate) controls: Vec<net::SocketAddr>,
    pub(crate) key: String,
    pub(crate) operator: String,
}

/// Contents of the settings file.
#[derive(Debug, Default)]
struct Settings {
    controls: Vec<net::SocketAddr>,
    key_file: Option<path::PathBuf>,
    operator: Option<String>,
}

/// Returns the options; the command line takes precedence over the settings file.
pub(crate) fn resolve(line: &command::CommandLine) -> Result<Options, String> {
    let file = match &line.config {
        Some(path) => read_settings(path).map_err(|findings| findings.to_string())?,
        None => Settings::default(),
    };
    let controls = match line.controls.is_empty() {
        true => file.controls,
        false => line.controls.clone(),
    };
    if controls.is_empty() {
        return Err("no control host; give --control IP:PORT or --config FILE".to_owned());
    }
    let Some(key_file) = line.key_file.clone().or(file.key_file) else {
        return Err("no key; give --key-file FILE or --config FILE".to_owned());
    };
    let operator = line.operator.clone().or(file.operator);
    Ok(Options {
        controls,
        key: read_key(&key_file)?,
        operator: operator
            .or_else(|| std::env::var("USER").ok())
            .unwrap_or_else(|| "unnamed".to_owned()),
    })
}

fn read_settings(path: &path::Path) -> Result<Settings, settings::Findings> {
    let mut reader = settings::Reader::open(path);
    let key_file = reader.optional("operator", "key_file", String::new(), "a file's path");
    let name = reader.optional("operator", "name", String::new(), "a name");
    let file = Settings {
        controls: reader.list("control", "addresses", "ip:port[,ip:port..]"),
        key_file: (!key_file.is_empty()).then(|| key_file.into()),
        operator: (!name.is_empty()).then_some(name),
    };
    reader.finish(Some(file))
}

fn read_key(path: &path::Path) -> Result<String, String> {
    match std::fs::read_to_string(path) {
        Ok(text) => Ok(text.trim().to_owned()),
        Err(error) => Err(format!("{}: {error}", path.display())),
    }
}
