//! Runs a gateway as a child process.

use std::fs;
use std::process;

use peargap_gateway::settings;

/// Memory of the host of which the fixture's settings tell, in bytes.
const HOST_BYTES: u64 = 88_000_000;

/// A running gateway; killed when dropped.
#[derive(Debug)]
pub(crate) struct Program {
    child: process::Child,
    _folder: tempfile::TempDir,
}

impl Program {
    pub(crate) fn start(settings: &settings::Settings) -> Program {
        let folder = tempfile::tempdir().expect("a folder");
        let text = format!(
            "[node]\nname={}\ndomain={}\n[listen]\ncallers={}\nhealth={}\n[control]\nport={}\n\
             seeds={}\n[memory]\nhost_mb={}\n",
            settings.name,
            settings.domain,
            settings.callers,
            settings.health,
            settings.control_port,
            settings.control_seeds[0],
            settings.intake.host_mb,
        );
        let path = folder.path().join("gateway.ini");
        fs::write(&path, text).expect("a file");
        let mut command = process::Command::new(env!("CARGO_BIN_EXE_peargap-gateway"));
        let child = command.arg("--config").arg(&path).spawn();
        Program {
            child: child.expect("a program"),
            _folder: folder,
        }
    }

    /// Checks that it never had more memory resident than the host has.
    pub(crate) fn assert_peak(&self) {
        let peak = self.read_peak_bytes();
        println!("peak={peak}");
        assert!(peak < HOST_BYTES, "{peak} bytes were resident");
    }

    /// Returns the most memory that it has had resident so far, in bytes.
    fn read_peak_bytes(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.expect("a status");
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kilobytes = peak.and_then(|peak| peak.trim().strip_suffix(" kB"));
        let kilobytes: u64 = kilobytes
            .and_then(|text| text.parse().ok())
            .expect("a peak");
        kilobytes * 1024
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        self.child.kill().expect("a running program");
        self.child.wait().expect("a program");
    }
}
