//! Starts programs, with fewer descriptors than the machine allows.

use std::process;

use rustix::process as unix;

/// Starts a program, with a limit of its open descriptors if there is one.
pub(crate) fn start(command: &mut process::Command, descriptors: Option<u64>) -> process::Child {
    let usual = unix::getrlimit(unix::Resource::Nofile);
    if let Some(current) = descriptors {
        let lowered = unix::Rlimit {
            current: Some(current),
            ..usual
        };
        // The child inherits it.
        unix::setrlimit(unix::Resource::Nofile, lowered).expect("a lower limit");
    }
    let child = command.spawn();
    if descriptors.is_some() {
        unix::setrlimit(unix::Resource::Nofile, usual).expect("the usual limit");
    }
    child.expect("the program starts")
}
