//! A TCP relay whose connections a test can close or stall.

use core::net;
use std::sync;

use tokio::io;
use tokio::net as sockets;
use tokio::sync::watch;

/// State of the connections accepted before the last change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Mode {
    Closed,
    Live,
    Stalled,
}

/// A relay to one address; keeps running when dropped.
pub(crate) struct Relay {
    pub(crate) address: net::SocketAddr,
    accepting: tokio::task::JoinHandle<()>,
    modes: sync::Arc<sync::Mutex<watch::Sender<Mode>>>,
    target: sync::Arc<sync::Mutex<net::SocketAddr>>,
}

impl Relay {
    /// Starts a relay to `target`.
    pub(crate) async fn start(target: net::SocketAddr) -> Relay {
        let listener = sockets::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let modes = sync::Arc::new(sync::Mutex::new(watch::Sender::new(Mode::Live)));
        let shared = sync::Arc::clone(&modes);
        let target = sync::Arc::new(sync::Mutex::new(target));
        let current = sync::Arc::clone(&target);
        let accepting = tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let mode = shared.lock().unwrap().subscribe();
                let target = *current.lock().unwrap();
                tokio::spawn(relay(client, target, mode));
            }
        });
        Relay {
            address,
            accepting,
            modes,
            target,
        }
    }

    /// Closes the existing connections; new ones work.
    pub(crate) fn close(&self) {
        self.replace(Mode::Closed);
    }

    /// Leads new connections to another address.
    pub(crate) fn redirect(&self, target: net::SocketAddr) {
        *self.target.lock().unwrap() = target;
    }

    /// Stalls the existing connections but leaves them open; new ones work.
    pub(crate) fn stall(&self) {
        self.replace(Mode::Stalled);
    }

    /// Closes the connections and refuses new ones, as if the process behind the relay had died.
    pub(crate) async fn kill(&mut self) {
        self.accepting.abort();
        let _ = (&mut self.accepting).await;
        self.close();
    }

    fn replace(&self, mode: Mode) {
        let mut modes = self.modes.lock().unwrap();
        modes.send_replace(mode);
        *modes = watch::Sender::new(Mode::Live);
    }
}

async fn relay(
    mut client: sockets::TcpStream,
    target: net::SocketAddr,
    mut mode: watch::Receiver<Mode>,
) {
    let Ok(mut server) = sockets::TcpStream::connect(target).await else {
        return;
    };
    let changed = tokio::select! {
        _ = io::copy_bidirectional(&mut client, &mut server) => return,
        mode = mode.wait_for(|mode| *mode != Mode::Live) => match mode {
            Ok(mode) => *mode,
            Err(_) => return,
        },
    };
    if changed == Mode::Stalled {
        // Both sockets stay open but carry no more data.
        core::future::pending::<()>().await;
    }
}
