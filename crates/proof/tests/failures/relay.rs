//! A TCP relay whose connections can be silenced, reset or delayed while new ones work.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use tokio::io;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net as tcp;
use tokio::sync::watch;

/// A relay from `port` to its target.
#[derive(Debug)]
pub(crate) struct Relay {
    pub(crate) port: u16,
    faults: sync::Arc<Faults>,
}

#[derive(Debug)]
struct Faults {
    /// Connections with a smaller number lose what the target answers.
    answers_floor: atomic::AtomicU64,
    delay_ms: atomic::AtomicU64,
    /// Connections with a smaller number are silent.
    floor: atomic::AtomicU64,
    opened: atomic::AtomicU64,
    /// Bumped to end every connection open now.
    resets: watch::Sender<u64>,
}

/// A connection's way through the relay.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Way {
    Answers,
    Requests,
}

impl Faults {
    fn is_silent(&self, number: u64, way: Way) -> bool {
        let is_lost = number < self.answers_floor.load(atomic::Ordering::SeqCst);
        number < self.floor.load(atomic::Ordering::SeqCst) || (is_lost && way == Way::Answers)
    }
}

impl Relay {
    /// Starts to relay from a free loopback port to a loopback port.
    pub(crate) async fn start(target: u16) -> Relay {
        let local = |port| net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, port));
        Relay::start_at(local(0), local(target)).await
    }

    /// Starts to relay from one address to another.
    pub(crate) async fn start_at(from: net::SocketAddr, target: net::SocketAddr) -> Relay {
        let listener = tcp::TcpListener::bind(from).await.expect("a free port");
        let port = listener.local_addr().expect("an address").port();
        let faults = sync::Arc::new(Faults {
            answers_floor: atomic::AtomicU64::new(0),
            delay_ms: atomic::AtomicU64::new(0),
            floor: atomic::AtomicU64::new(0),
            opened: atomic::AtomicU64::new(0),
            resets: watch::Sender::new(0),
        });
        tokio::spawn(accept(listener, target, faults.clone()));
        Relay { faults, port }
    }

    /// Silences every connection open now, for good; they stay open.
    pub(crate) fn silence(&self) {
        let opened = self.faults.opened.load(atomic::Ordering::SeqCst);
        self.faults.floor.store(opened, atomic::Ordering::SeqCst);
    }

    /// Loses the answers of every connection open now, for good.
    pub(crate) fn lose_answers(&self) {
        let opened = self.faults.opened.load(atomic::Ordering::SeqCst);
        let floor = &self.faults.answers_floor;
        floor.store(opened, atomic::Ordering::SeqCst);
    }

    /// Ends every connection open now.
    pub(crate) fn reset(&self) {
        self.faults.resets.send_modify(|resets| *resets += 1);
    }

    /// Holds everything up by so long from now on.
    pub(crate) fn delay(&self, delay: time::Duration) {
        let millis = u64::try_from(delay.as_millis()).expect("a short delay");
        let delay_ms = &self.faults.delay_ms;
        delay_ms.store(millis, atomic::Ordering::SeqCst);
    }
}

async fn accept(listener: tcp::TcpListener, target: net::SocketAddr, faults: sync::Arc<Faults>) {
    while let Ok((inner, _)) = listener.accept().await {
        let number = faults.opened.fetch_add(1, atomic::Ordering::SeqCst);
        let mut resets = faults.resets.subscribe();
        let faults = faults.clone();
        tokio::spawn(async move {
            let Ok(outer) = tcp::TcpStream::connect(target).await else {
                return;
            };
            let (inner_read, inner_write) = inner.into_split();
            let (outer_read, outer_write) = outer.into_split();
            let both = async {
                tokio::join!(
                    copy(inner_read, outer_write, number, Way::Requests, &faults),
                    copy(outer_read, inner_write, number, Way::Answers, &faults),
                );
            };
            tokio::select! {
                () = both => {}
                // Dropped halves end the connection.
                _changed = resets.changed() => {}
            }
        });
    }
}

async fn copy(
    mut from: impl io::AsyncRead + Unpin,
    mut to: impl io::AsyncWrite + Unpin,
    number: u64,
    way: Way,
    faults: &Faults,
) {
    let mut buffer = vec![0; 16 * 1024];
    while let Ok(count @ 1..) = from.read(&mut buffer).await {
        let delay_ms = faults.delay_ms.load(atomic::Ordering::SeqCst);
        if delay_ms > 0 {
            tokio::time::sleep(time::Duration::from_millis(delay_ms)).await;
        }
        // What a silent connection reads is lost, as in a middle box that forgot it.
        if faults.is_silent(number, way) {
            continue;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
    if faults.is_silent(number, way) {
        std::future::pending::<()>().await;
    } else {
        let _ = to.shutdown().await;
    }
}
