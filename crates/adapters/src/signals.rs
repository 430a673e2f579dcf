//! Graceful stop on SIGTERM and SIGINT.

use std::io;

use tokio::signal::unix;
use tokio_util::sync;

/// Returns a token that is cancelled by the first SIGTERM or SIGINT.
///
/// Fails when the handlers cannot be installed.
pub fn listen() -> Result<sync::CancellationToken, io::Error> {
    let mut terminate = unix::signal(unix::SignalKind::terminate())?;
    let mut interrupt = unix::signal(unix::SignalKind::interrupt())?;
    let token = sync::CancellationToken::new();
    let stop = token.clone();
    tokio::spawn(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        stop.cancel();
    });
    Ok(token)
}
