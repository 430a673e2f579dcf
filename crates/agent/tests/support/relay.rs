//! A TCP relay whose connections a test can cut or stall.

use core::net;
use std::sync;

use tokio::io;
use tokio::net as sockets;
use tokio::sync::watch;

/// State of the connections accepted before the last change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fate {
    Cut,
    Live,
    Silent,
}

/// A relay to one address; keeps running when dropped.
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

    /// Closes the existing connections; new ones work.
    pub(crate) fn cut(&self) {
        self.replace(Fate::Cut);
    }

    /// Stalls the existing connections but leaves them open; new ones work.
    pub(crate) fn silence(&self) {
        self.replace(Fate::Silent);
    }

    /// Closes the connections and refuses new ones, as if the process behind the relay had died.
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
        // Both sockets stay open but carry no more data.
        core::future::pending::<()>().await;
    }
}
