//! A TCP relay that can silence or reset the connections open now, and can delay all of them.
//!
//! Connections that are opened after a silence or reset work normally.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use tokio::io;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net as tcp;
use tokio::sync::watch;

/// A relay from `port` on the address it listens on to its target.
#[derive(Debug)]
pub(crate) struct Relay {
    pub(crate) port: u16,
    faults: sync::Arc<Faults>,
}

#[derive(Debug)]
struct Faults {
    /// Connections with a smaller number drop what the target sends.
    responses_dropped_below: atomic::AtomicU64,
    delay_ms: atomic::AtomicU64,
    /// Connections with a smaller number drop everything.
    silent_below: atomic::AtomicU64,
    connection_count: atomic::AtomicU64,
    /// Incremented to close every open connection.
    resets: watch::Sender<u64>,
}

/// Direction in which a connection copies data.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Direction {
    Responses,
    Requests,
}

impl Faults {
    fn is_silent(&self, connection: u64, direction: Direction) -> bool {
        let is_lost = connection < self.responses_dropped_below.load(atomic::Ordering::SeqCst);
        connection < self.silent_below.load(atomic::Ordering::SeqCst)
            || (is_lost && direction == Direction::Responses)
    }
}

impl Relay {
    /// Starts a relay from a free loopback port to a loopback port.
    pub(crate) async fn start(target: u16) -> Relay {
        let local = |port| net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, port));
        Relay::start_at(local(0), local(target)).await
    }

    /// Starts a relay from one address to another.
    pub(crate) async fn start_at(from: net::SocketAddr, target: net::SocketAddr) -> Relay {
        let listener = tcp::TcpListener::bind(from).await.expect("a free port");
        let port = listener.local_addr().expect("an address").port();
        let faults = sync::Arc::new(Faults {
            responses_dropped_below: atomic::AtomicU64::new(0),
            delay_ms: atomic::AtomicU64::new(0),
            silent_below: atomic::AtomicU64::new(0),
            connection_count: atomic::AtomicU64::new(0),
            resets: watch::Sender::new(0),
        });
        tokio::spawn(accept(listener, target, faults.clone()));
        Relay { faults, port }
    }

    /// Silences every open connection permanently: it stays open and drops everything.
    pub(crate) fn silence(&self) {
        let opened = self.faults.connection_count.load(atomic::Ordering::SeqCst);
        self.faults
            .silent_below
            .store(opened, atomic::Ordering::SeqCst);
    }

    /// Makes every open connection drop what the target sends, permanently.
    pub(crate) fn drop_responses(&self) {
        let opened = self.faults.connection_count.load(atomic::Ordering::SeqCst);
        let threshold = &self.faults.responses_dropped_below;
        threshold.store(opened, atomic::Ordering::SeqCst);
    }

    /// Closes every open connection.
    pub(crate) fn reset(&self) {
        self.faults.resets.send_modify(|resets| *resets += 1);
    }

    /// Delays each read of all connections by `delay` from now on.
    pub(crate) fn delay(&self, delay: time::Duration) {
        let millis = u64::try_from(delay.as_millis()).expect("a short delay");
        let delay_ms = &self.faults.delay_ms;
        delay_ms.store(millis, atomic::Ordering::SeqCst);
    }
}

async fn accept(listener: tcp::TcpListener, target: net::SocketAddr, faults: sync::Arc<Faults>) {
    while let Ok((client, _)) = listener.accept().await {
        let connection = faults
            .connection_count
            .fetch_add(1, atomic::Ordering::SeqCst);
        let mut resets = faults.resets.subscribe();
        let faults = faults.clone();
        tokio::spawn(async move {
            let Ok(server) = tcp::TcpStream::connect(target).await else {
                return;
            };
            let (client_read, client_write) = client.into_split();
            let (server_read, server_write) = server.into_split();
            let copies = async {
                tokio::join!(
                    copy(
                        client_read,
                        server_write,
                        connection,
                        Direction::Requests,
                        &faults
                    ),
                    copy(
                        server_read,
                        client_write,
                        connection,
                        Direction::Responses,
                        &faults
                    ),
                );
            };
            tokio::select! {
                () = copies => {}
                // Dropping the halves closes the connection.
                _changed = resets.changed() => {}
            }
        });
    }
}

async fn copy(
    mut from: impl io::AsyncRead + Unpin,
    mut to: impl io::AsyncWrite + Unpin,
    connection: u64,
    direction: Direction,
    faults: &Faults,
) {
    let mut buffer = vec![0; 16 * 1024];
    while let Ok(count @ 1..) = from.read(&mut buffer).await {
        let delay_ms = faults.delay_ms.load(atomic::Ordering::SeqCst);
        if delay_ms > 0 {
            tokio::time::sleep(time::Duration::from_millis(delay_ms)).await;
        }
        // The data is read and dropped, as by a middlebox that has lost the connection's state.
        if faults.is_silent(connection, direction) {
            continue;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
    if faults.is_silent(connection, direction) {
        std::future::pending::<()>().await;
    } else {
        let _ = to.shutdown().await;
    }
}
