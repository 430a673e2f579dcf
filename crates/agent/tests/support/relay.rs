//! A relay of connections that the test can cut or silence.

use core::net;
use std::sync;

use tokio::io;
use tokio::net as sockets;
use tokio::sync::watch;

/// What happens to connections made before the last change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fate {
    Cut,
    Live,
    Silent,
}

/// A relay to one address; dropping it leaves it running.
pub(crate) struct Relay {
    pub(crate) address: net::SocketAddr,
    accepting: tokio::task::JoinHandle<()>,
    fates: sync::Arc<sync::Mutex<watch::Sender<Fate>>>,
}

impl Relay {
    /// Starts a relay to `target`.
    pub(crate) async fn start(target: net::SocketAddr) -> Relay {
        let listener = sockets::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let fates = sync::Arc::new(sync::Mutex::new(watch::Sender::new(Fate::Live)));
        let shared = sync::Arc::clone(&fates);
        let accepting = tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                let fate = shared.lock().unwrap().subscribe();
                tokio::spawn(relay(near, target, fate));
            }
        });
        Relay {
            address,
            accepting,
            fates,
        }
    }

    /// Cuts the connections made so far; new ones work.
    pub(crate) fn cut(&self) {
        self.replace(Fate::Cut);
    }

    /// Leaves the connections made so far open and silent; new ones work.
    pub(crate) fn silence(&self) {
        self.replace(Fate::Silent);
    }

    /// Cuts the connections and refuses new ones, as when the process behind it dies.
    pub(crate) async fn kill(&mut self) {
        self.accepting.abort();
        let _ = (&mut self.accepting).await;
        self.cut();
    }

    fn replace(&self, fate: Fate) {
        let mut fates = self.fates.lock().unwrap();
        fates.send_replace(fate);
        *fates = watch::Sender::new(Fate::Live);
    }
}

async fn relay(
    mut near: sockets::TcpStream,
    target: net::SocketAddr,
    mut fate: watch::Receiver<Fate>,
) {
    let Ok(mut far) = sockets::TcpStream::connect(target).await else {
        return;
    };
    let changed = tokio::select! {
        _ = io::copy_bidirectional(&mut near, &mut far) => return,
        fate = fate.wait_for(|fate| *fate != Fate::Live) => match fate {
            Ok(fate) => *fate,
            Err(_) => return,
        },
    };
    if changed == Fate::Silent {
        // Both ends keep their sockets and hear nothing more.
        core::future::pending::<()>().await;
    }
}
