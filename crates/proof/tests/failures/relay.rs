//! A TCP relay whose open connections can be silenced while new ones work.

use std::net;
use std::sync;
use std::sync::atomic;

use tokio::io;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net as tcp;

/// A relay from `port` to its target.
#[derive(Debug)]
pub(crate) struct Relay {
    pub(crate) port: u16,
    /// Connections with a smaller number are silent.
    floor: sync::Arc<atomic::AtomicU64>,
    opened: sync::Arc<atomic::AtomicU64>,
}

impl Relay {
    /// Starts to relay to a loopback port.
    pub(crate) async fn start(target: u16) -> Relay {
        let listener = tcp::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0)).await;
        let listener = listener.expect("a free port");
        let port = listener.local_addr().expect("an address").port();
        let floor = sync::Arc::new(atomic::AtomicU64::new(0));
        let opened = sync::Arc::new(atomic::AtomicU64::new(0));
        tokio::spawn(accept(
            listener,
            target,
            sync::Arc::clone(&floor),
            sync::Arc::clone(&opened),
        ));
        Relay {
            floor,
            opened,
            port,
        }
    }

    /// Silences every connection open now, for good; they stay open.
    pub(crate) fn silence(&self) {
        let opened = self.opened.load(atomic::Ordering::SeqCst);
        self.floor.store(opened, atomic::Ordering::SeqCst);
    }
}

async fn accept(
    listener: tcp::TcpListener,
    target: u16,
    floor: sync::Arc<atomic::AtomicU64>,
    opened: sync::Arc<atomic::AtomicU64>,
) {
    while let Ok((inner, _)) = listener.accept().await {
        let number = opened.fetch_add(1, atomic::Ordering::SeqCst);
        let floor = sync::Arc::clone(&floor);
        tokio::spawn(async move {
            let Ok(outer) = tcp::TcpStream::connect((net::Ipv4Addr::LOCALHOST, target)).await
            else {
                return;
            };
            let (inner_read, inner_write) = inner.into_split();
            let (outer_read, outer_write) = outer.into_split();
            tokio::join!(
                copy(inner_read, outer_write, number, &floor),
                copy(outer_read, inner_write, number, &floor),
            );
        });
    }
}

async fn copy(
    mut from: impl io::AsyncRead + Unpin,
    mut to: impl io::AsyncWrite + Unpin,
    number: u64,
    floor: &atomic::AtomicU64,
) {
    let mut buffer = vec![0; 16 * 1024];
    while let Ok(count @ 1..) = from.read(&mut buffer).await {
        // What a silent connection reads is lost, as in a middle box that forgot it.
        if number < floor.load(atomic::Ordering::SeqCst) {
            continue;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
    if number >= floor.load(atomic::Ordering::SeqCst) {
        let _ = to.shutdown().await;
    } else {
        std::future::pending::<()>().await;
    }
}
