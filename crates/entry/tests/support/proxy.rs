//! A TCP proxy that can stop forwarding on its open connections while new ones work.

use std::net;

use tokio::sync::watch;

pub struct Proxy {
    pub address: net::SocketAddr,
    silent: watch::Sender<u64>,
}

impl Proxy {
    /// Starts a proxy to `target`.
    pub async fn start(target: net::SocketAddr) -> Proxy {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let proxy = Proxy {
            address: listener.local_addr().unwrap(),
            silent: watch::Sender::new(0),
        };
        let silent = proxy.silent.subscribe();
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                tokio::spawn(forward(stream, target, silent.clone()));
            }
        });
        proxy
    }

    /// Stops forwarding on all open connections without closing them.
    pub fn silence(&self) {
        self.silent.send_modify(|times| *times += 1);
    }
}

async fn forward(
    mut caller: tokio::net::TcpStream,
    target: net::SocketAddr,
    mut silent: watch::Receiver<u64>,
) {
    let mut upstream = tokio::net::TcpStream::connect(target).await.unwrap();
    silent.mark_unchanged();
    let silenced = tokio::select! {
        _ = tokio::io::copy_bidirectional(&mut caller, &mut upstream) => false,
        _ = silent.changed() => true,
    };
    if silenced {
        // The connections stay open, so that both ends see only silence.
        std::future::pending::<()>().await;
    }
}
