//! Paths of the built programs, and signals to their processes.

use std::env;
use std::path;
use std::process;

use rustix::process as unix;

/// Returns the path of a program that `cargo test --workspace` has built.
pub(crate) fn find_program(name: &str) -> path::PathBuf {
    let test = env::current_exe().expect("the test's own path");
    let folder = test
        .parent()
        .and_then(path::Path::parent)
        .expect("a target folder");
    folder.join(name)
}

/// Sends a signal to a process.
pub(crate) fn send_signal(child: &process::Child, signal: unix::Signal) {
    let pid = unix::Pid::from_raw(child.id().cast_signed()).expect("a process id");
    unix::kill_process(pid, signal).expect("the signal is sent");
}
