//! Graceful stop on SIGTERM and SIGINT, reload on SIGHUP.

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

/// Calls `reload` at each SIGHUP until `token` is cancelled.
///
/// Fails when the handler cannot be installed.
pub fn on_hangup(
    token: sync::CancellationToken,
    mut reload: impl FnMut() + Send + 'static,
) -> Result<(), io::Error> {
    let mut hangup = unix::signal(unix::SignalKind::hangup())?;
    tokio::spawn(async move {
        loop {
            tokio::select! {
                () = token.cancelled() => return,
                received = hangup.recv() => if received.is_none() { return },
            }
            reload();
        }
    });
    Ok(())
}
