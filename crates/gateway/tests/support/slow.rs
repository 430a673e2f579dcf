//! Peers that read slowly, and an engine that cuts off an answer which remains unread.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use tokio::io::AsyncBufReadExt as _;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

/// Time for which an answer may remain unread before the engine cuts it off.
pub(crate) const UNREAD_TIMEOUT: time::Duration = time::Duration::from_millis(700);
/// Bytes that the system buffers for a slow peer, so that its pace is felt early.
const RECEIVE_BUFFER_BYTES: u32 = 4 << 10;
const EVENT_TEXT_BYTES: usize = 8 << 10;
/// Bytes of a request's body that a slow upstream reads at once.
const PIECE_BYTES: usize = 64 << 10;

/// Engine that answers with as many events of 8 KiB as the last part of the path says, as fast as
/// they are read; clones share its count.
#[derive(Clone, Debug)]
pub(crate) struct Engine {
    pub(crate) address: net::SocketAddr,
    cut_off: sync::Arc<atomic::AtomicUsize>,
}

impl Engine {
    pub(crate) async fn start() -> Engine {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await;
        let listener = listener.expect("a port");
        let engine = Engine {
            address: listener.local_addr().expect("an address"),
            cut_off: sync::Arc::default(),
        };
        let serving = engine.clone();
        tokio::spawn(async move {
            while let Ok((stream, _peer)) = listener.accept().await {
                let cut_off = serving.cut_off.clone();
                tokio::spawn(async move {
                    if !answer(stream).await {
                        cut_off.fetch_add(1, atomic::Ordering::SeqCst);
                    }
                });
            }
        });
        engine
    }

    /// Returns the number of answers that it cut off as they remained unread.
    pub(crate) fn count_cut_off(&self) -> usize {
        self.cut_off.load(atomic::Ordering::SeqCst)
    }
}

/// Answers one request; returns whether the answer was not cut off.
async fn answer(mut stream: tokio::net::TcpStream) -> bool {
    let mut request = [0; 4096];
    let Ok(read @ 1..) = stream.read(&mut request).await else {
        return true;
    };
    let request = String::from_utf8_lossy(&request[..read]).into_owned();
    let mut lines = request.lines();
    let path = lines.next().and_then(|line| line.split(' ').nth(1));
    let events = path.and_then(|path| path.rsplit('/').next()?.parse().ok());
    let attempt = lines.find_map(|line| line.strip_prefix("attempt-id: "));
    let head = format!(
        "HTTP/1.1 200 OK\r\nserver-signature: proof\r\nattempt-id: {}\r\nconnection: close\r\n\
         transfer-encoding: chunked\r\n\r\n",
        attempt.unwrap_or_default()
    );
    let text = "x".repeat(EVENT_TEXT_BYTES);
    let events: u64 = events.unwrap_or_default();
    let chunks = (1..=events).map(|id| {
        let event = format!("id: {id}\ndata: {text}\n\n");
        format!("{:x}\r\n{event}\r\n", event.len())
    });
    let end = "0\r\n\r\n".to_owned();
    for part in core::iter::once(head).chain(chunks).chain([end]) {
        let written = tokio::time::timeout(UNREAD_TIMEOUT, stream.write_all(part.as_bytes()));
        match written.await {
            Ok(Ok(())) => {}
            // The gateway has closed the connection.
            Ok(Err(_closed)) => return true,
            Err(_elapsed) => return false,
        }
    }
    true
}

/// Starts an upstream that reads 64 KiB of a request's body after each `interval` if its path ends
/// in `slow`, and nothing of it if it ends in `stalled`.
pub(crate) async fn start_upstream(interval: time::Duration) -> net::SocketAddr {
    let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
    let any = net::SocketAddr::from(([127, 0, 0, 1], 0));
    socket.bind(any).expect("a port");
    let buffer = u32::try_from(PIECE_BYTES).expect("few");
    socket.set_recv_buffer_size(buffer).expect("a buffer");
    let listener = socket.listen(1024).expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _peer)) = listener.accept().await {
            // Ends with its connection.
            tokio::spawn(async move { take_requests(stream, interval).await });
        }
    });
    address
}

/// Answers the requests on a connection; returns `None` when it ends.
async fn take_requests(stream: tokio::net::TcpStream, interval: time::Duration) -> Option<()> {
    let mut stream = tokio::io::BufReader::new(stream);
    loop {
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            let read = stream.read_line(&mut head).await.ok()?;
            (read > 0).then_some(())?;
        }
        let mut lines = head.lines();
        let path = lines.next()?.split(' ').nth(1)?;
        let find = |name: &str| head.lines().find_map(|line| line.strip_prefix(name));
        let mut left: usize = find("content-length: ").unwrap_or("0").parse().ok()?;
        if path.ends_with("stalled") {
            core::future::pending::<()>().await;
        }
        while left > 0 {
            if path.ends_with("slow") {
                tokio::time::sleep(interval).await;
            }
            let mut piece = vec![0; left.min(PIECE_BYTES)];
            left -= stream.read_exact(&mut piece).await.ok()?;
        }
        let answer = format!(
            "HTTP/1.1 200 OK\r\nserver-signature: proof\r\nattempt-id: {}\r\n\
             content-length: 0\r\n\r\n",
            find("attempt-id: ")?
        );
        stream.write_all(answer.as_bytes()).await.ok()?;
    }
}

/// Sends a request with a body of this many bytes; returns the status of the answer.
pub(crate) async fn post(address: net::SocketAddr, path: &str, bytes: usize) -> String {
    let stream = tokio::net::TcpStream::connect(address).await;
    let mut stream = stream.expect("a connection");
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: h.example\r\nattempt-id: 7\r\ndeadline-ms: 9000\r\n\
         x-api-key: k1\r\ncontent-length: {bytes}\r\n\r\n"
    );
    let mut request = head.into_bytes();
    request.resize(request.len() + bytes, b'x');
    stream.write_all(&request).await.expect("a connection");
    let mut line = String::new();
    let mut answer = tokio::io::BufReader::new(stream);
    answer.read_line(&mut line).await.expect("an answer");
    line.split(' ').nth(1).unwrap_or_default().to_owned()
}

/// Opens a connection whose receive buffer is small.
pub(crate) async fn connect(address: net::SocketAddr) -> tokio::net::TcpStream {
    let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
    socket
        .set_recv_buffer_size(RECEIVE_BUFFER_BYTES)
        .expect("a buffer");
    socket.connect(address).await.expect("a connection")
}

/// Sends a request for a generation of this many events of 8 KiB.
pub(crate) async fn request(stream: &mut tokio::net::TcpStream, events: u64) {
    let request = format!(
        "POST /stream/{events} HTTP/1.1\r\nhost: h.example\r\nattempt-id: {events}\r\n\
         deadline-ms: 9000\r\nx-api-key: k1\r\ntoken-usage: 100,40\r\ncontent-length: 0\r\n\r\n"
    );
    stream
        .write_all(request.as_bytes())
        .await
        .expect("a connection");
}

/// What a caller got.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Answer {
    /// All of an answer with this many events.
    Complete(usize),
    /// The connection ended in the middle of an answer.
    CutOff,
}

/// Reads an answer to its end: `pieces` of 1 KB, one after each `interval`, then the rest at once.
pub(crate) async fn read(
    stream: &mut tokio::net::TcpStream,
    pieces: usize,
    interval: time::Duration,
) -> Answer {
    let mut received = Vec::new();
    let mut piece = [0; 1 << 10];
    for number in 0.. {
        if number < pieces {
            tokio::time::sleep(interval).await;
        }
        match stream.read(&mut piece).await {
            Ok(read @ 1..) => received.extend_from_slice(&piece[..read]),
            Ok(0) | Err(_) => return Answer::CutOff,
        }
        if received.ends_with(b"0\r\n\r\n") {
            let ends = received.windows(2).filter(|bytes| *bytes == b"\n\n");
            return Answer::Complete(ends.count());
        }
    }
    Answer::CutOff
}

/// Times of plain calls, one after the other.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Times {
    pub(crate) middle: time::Duration,
    /// Time within which 98 of 100 calls are answered. The longest of all shows more of the machine
    /// than of the gateway.
    pub(crate) nearly_all: time::Duration,
}

impl Times {
    /// Measures plain calls.
    pub(crate) async fn measure(fixture: &super::Fixture, calls: usize) -> Times {
        let mut caller = fixture.connect().await;
        let mut times = Vec::new();
        for _call in 0..calls {
            let begun = time::Instant::now();
            let response = caller.call(super::caller::request("/once/", "")).await;
            assert_eq!(response.status, 200);
            times.push(begun.elapsed());
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
        times.sort();
        Times {
            middle: times[calls / 2],
            nearly_all: times[calls * 98 / 100],
        }
    }

    /// Checks that calls take no longer than those of `alone` did.
    pub(crate) fn assert_unchanged(&self, alone: Times) {
        println!("alone={alone:?} beside={self:?}");
        assert!(self.middle < alone.middle + time::Duration::from_millis(5));
        assert!(self.nearly_all < alone.nearly_all + time::Duration::from_millis(50));
    }
}
