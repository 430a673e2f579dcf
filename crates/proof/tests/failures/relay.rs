//! A TCP relay that can silence or reset the connections open now, and can delay all of them, hold
//! them up, or pass what the targets send over a link of limited rate.
//!
//! Connections that are opened after a silence or reset work normally.

use std::collections;
use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use tokio::io;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net as tcp;
use tokio::sync::watch;

/// Bytes that a connection passes on at once.
const BUFFER_BYTES: usize = 16 * 1024;
/// Bytes that a connection that was held up passes on in a round trip.
const SEGMENT_BYTES: usize = 1460;
const ROUND_TRIP: time::Duration = time::Duration::from_millis(3);

/// A relay from `port` on the address it listens on to its target.
#[derive(Debug)]
pub(crate) struct Relay {
    pub(crate) port: u16,
    faults: sync::Arc<Faults>,
}

/// A link that passes what arrives in order, at a limited rate; several relays may share it.
#[derive(Debug)]
pub(crate) struct Link {
    bytes_per_s: f64,
    state: sync::Mutex<LinkState>,
}

#[derive(Debug)]
struct LinkState {
    /// When the link has passed all that has arrived.
    free_at: tokio::time::Instant,
    /// Bytes that each relay has passed, by the name that it gave.
    passed: collections::BTreeMap<&'static str, usize>,
    /// Longest time that bytes of each relay have waited for others.
    waited: collections::BTreeMap<&'static str, time::Duration>,
}

impl Link {
    /// Returns a link with a rate in bytes a second.
    pub(crate) fn new(bytes_per_s: f64) -> sync::Arc<Link> {
        let state = LinkState {
            free_at: tokio::time::Instant::now(),
            passed: collections::BTreeMap::new(),
            waited: collections::BTreeMap::new(),
        };
        sync::Arc::new(Link {
            bytes_per_s,
            state: sync::Mutex::new(state),
        })
    }

    /// Waits until the link has passed these bytes.
    async fn pass(&self, name: &'static str, bytes: usize) {
        let end = {
            let mut state = self.state.lock().expect("a link");
            let now = tokio::time::Instant::now();
            let start = state.free_at.max(now);
            let waited = state.waited.entry(name).or_default();
            *waited = start.duration_since(now).max(*waited);
            *state.passed.entry(name).or_default() += bytes;
            let time = bytes as f64 / self.bytes_per_s;
            state.free_at = start + time::Duration::from_secs_f64(time);
            state.free_at
        };
        tokio::time::sleep_until(end).await;
    }

    /// Returns the longest time that bytes of the named relays have waited for others, since the
    /// last call.
    pub(crate) fn take_longest_wait(&self, name: &str) -> time::Duration {
        let mut state = self.state.lock().expect("a link");
        state.waited.remove(name).unwrap_or_default()
    }

    /// Returns the bytes that the named relays have passed.
    pub(crate) fn count_passed(&self, name: &str) -> usize {
        let state = self.state.lock().expect("a link");
        state.passed.get(name).copied().unwrap_or_default()
    }
}

#[derive(Debug)]
struct Faults {
    /// Link that passes what the target sends, and the relay's name there.
    link: sync::Mutex<Option<(sync::Arc<Link>, &'static str)>>,
    /// Connections with a smaller number drop what the target sends.
    responses_dropped_below: atomic::AtomicU64,
    delay_ms: atomic::AtomicU64,
    /// Connections with a smaller number drop everything.
    silent_below: atomic::AtomicU64,
    connection_count: atomic::AtomicU64,
    /// Whether everything is held up, to be passed on later.
    held: watch::Sender<bool>,
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
            link: sync::Mutex::default(),
            responses_dropped_below: atomic::AtomicU64::new(0),
            delay_ms: atomic::AtomicU64::new(0),
            silent_below: atomic::AtomicU64::new(0),
            connection_count: atomic::AtomicU64::new(0),
            held: watch::Sender::new(false),
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

    /// Holds up what all connections carry, or passes it on, in small segments.
    pub(crate) fn hold(&self, held: bool) {
        self.faults.held.send_replace(held);
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

    /// Passes what the target sends over a link from now on, counted there under `name`.
    pub(crate) fn limit(&self, link: &sync::Arc<Link>, name: &'static str) {
        *self.faults.link.lock().expect("a relay") = Some((link.clone(), name));
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
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut was_held = false;
    while let Ok(count @ 1..) = from.read(&mut buffer).await {
        let delay_ms = faults.delay_ms.load(atomic::Ordering::SeqCst);
        if delay_ms > 0 {
            tokio::time::sleep(time::Duration::from_millis(delay_ms)).await;
        }
        // The sender lives as long as `faults`.
        let mut held = faults.held.subscribe();
        was_held |= *held.borrow();
        let _ = held.wait_for(|held| !held).await;
        // The data is read and dropped, as by a middlebox that has lost the connection's state.
        if faults.is_silent(connection, direction) {
            continue;
        }
        let link = faults.link.lock().expect("a relay").clone();
        if let Some((link, name)) = link.filter(|_link| direction == Direction::Responses) {
            link.pass(name, count).await;
        }
        let segment_bytes = if was_held { SEGMENT_BYTES } else { count };
        for segment in buffer[..count].chunks(segment_bytes) {
            if to.write_all(segment).await.is_err() {
                return;
            }
            if was_held {
                tokio::time::sleep(ROUND_TRIP).await;
            }
        }
    }
    if faults.is_silent(connection, direction) {
        std::future::pending::<()>().await;
    } else {
        let _ = to.shutdown().await;
    }
}
