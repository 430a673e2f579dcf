//! A relay that counts the bytes between nodes and one control host.

use std::io;
use std::net;
use std::sync;
use std::sync::atomic;

use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net as sockets;
use tokio::net::tcp;

const BUFFER_BYTES: usize = 16 << 10;

/// Traffic relayed so far.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Count {
    pub(crate) down: u64,
    /// Reads from both sides, which approximates the number of packets with data.
    pub(crate) reads: u64,
    pub(crate) up: u64,
}

#[derive(Debug, Default)]
struct Counters {
    down: atomic::AtomicU64,
    reads: atomic::AtomicU64,
    up: atomic::AtomicU64,
}

pub(crate) struct Relay {
    pub(crate) address: net::SocketAddr,
    counters: sync::Arc<Counters>,
}

impl Relay {
    pub(crate) async fn start(target: net::SocketAddr) -> io::Result<Relay> {
        let listener = sockets::TcpListener::bind("127.0.0.1:0").await?;
        let relay = Relay {
            address: listener.local_addr()?,
            counters: sync::Arc::default(),
        };
        let counters = relay.counters.clone();
        tokio::spawn(async move {
            while let Ok((node, _)) = listener.accept().await {
                let Ok(host) = sockets::TcpStream::connect(target).await else {
                    continue;
                };
                let _ = node.set_nodelay(true);
                let _ = host.set_nodelay(true);
                let (node_read, node_write) = node.into_split();
                let (host_read, host_write) = host.into_split();
                tokio::spawn(copy(node_read, host_write, counters.clone(), |c| &c.up));
                tokio::spawn(copy(host_read, node_write, counters.clone(), |c| &c.down));
            }
        });
        Ok(relay)
    }

    pub(crate) fn read(&self) -> Count {
        let order = atomic::Ordering::Relaxed;
        Count {
            down: self.counters.down.load(order),
            reads: self.counters.reads.load(order),
            up: self.counters.up.load(order),
        }
    }
}

async fn copy(
    mut from: tcp::OwnedReadHalf,
    mut to: tcp::OwnedWriteHalf,
    counters: sync::Arc<Counters>,
    select_counter: fn(&Counters) -> &atomic::AtomicU64,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(length) = from.read(&mut buffer).await {
        if length == 0 || to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
        select_counter(&counters).fetch_add(length as u64, atomic::Ordering::Relaxed);
        counters.reads.fetch_add(1, atomic::Ordering::Relaxed);
    }
}
