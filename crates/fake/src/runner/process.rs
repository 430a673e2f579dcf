//! Process of a runner: its listener and connections, which end with a crash.

use hyper::server::conn::http1;
use hyper_util::rt;
use tokio_util::sync::CancellationToken;

use crate::runner;

/// Serves until the runtime shuts down; after each crash, nothing listens for the runner's down time.
pub(super) async fn serve(
    runner: runner::Runner,
    listener: tokio::net::TcpListener,
    router: axum::Router,
) {
    let mut listener = Some(listener);
    loop {
        let crash = runner.lock().crash.clone();
        if let Some(listener) = listener.take() {
            accept_until_crash(&listener, &router, &crash).await;
        }
        let down_time = runner.lock().down_time;
        tokio::time::sleep(down_time).await;
        match tokio::net::TcpListener::bind(runner.address).await {
            Ok(bound) => {
                listener = Some(bound);
                runner.lock().crash = CancellationToken::new();
            }
            Err(error) => eprintln!("runner {} cannot listen again: {error}", runner.name),
        }
    }
}

/// Accepts connections until the runner crashes, which closes all of them.
async fn accept_until_crash(
    listener: &tokio::net::TcpListener,
    router: &axum::Router,
    crash: &CancellationToken,
) {
    loop {
        let accepted = tokio::select! {
            () = crash.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _peer)) = accepted else {
            continue;
        };
        let service = hyper_util::service::TowerToHyperService::new(router.clone());
        let connection = http1::Builder::new().serve_connection(rt::TokioIo::new(stream), service);
        let crash = crash.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = crash.cancelled() => {}
                // Its error shows at the other end.
                _result = connection => {}
            }
        });
    }
}
