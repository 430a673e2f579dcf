//! Upstream that sends bytes without end in answer to a request, until the caller closes.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

/// Bytes after which it ends all the same, so that a caller that never closes ends a test.
const MAX_BYTES: u64 = 256 << 20;
const PIECE_BYTES: usize = 16 << 10;
/// Bytes of a piece that is sent after a pause.
const SLOW_PIECE_BYTES: usize = 512;
/// Time between two pieces that are sent slowly.
const PAUSE: time::Duration = time::Duration::from_millis(100);

/// The part of a response that has no end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Part {
    /// The body, in chunks.
    Body,
    /// An event of a stream.
    Event,
    /// The head.
    Head,
    /// Informational responses before the head.
    Informational,
}

impl Part {
    /// Returns what comes once, and what comes again and again in pieces of about this many bytes.
    fn pieces(self, bytes: usize) -> (&'static str, Vec<u8>) {
        let text = |piece: &str| piece.repeat(bytes / piece.len()).into_bytes();
        let chunk = |piece: &str| {
            let mut chunk = format!("{:x}\r\n", bytes / piece.len() * piece.len()).into_bytes();
            chunk.extend(text(piece));
            chunk.extend(b"\r\n");
            chunk
        };
        let head =
            "HTTP/1.1 200 OK\r\nserver-signature: proof\r\ntransfer-encoding: chunked\r\n\r\n";
        match self {
            Part::Body | Part::Event => (head, chunk("x")),
            Part::Head => ("HTTP/1.1 200 OK\r\nx: ", text("y")),
            Part::Informational => ("", text("HTTP/1.1 102 Processing\r\n\r\n")),
        }
    }
}

/// An upstream that sends without end; clones share its counts.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Address that it listens on.
    pub address: net::SocketAddr,
    /// Bytes of an answer that it sends at once; the others come slowly.
    burst: u64,
    closed: sync::Arc<atomic::AtomicUsize>,
    sent: sync::Arc<atomic::AtomicU64>,
}

impl Upstream {
    /// Starts an upstream, which serves until the runtime shuts down.
    ///
    /// Fails if no port can be bound.
    pub async fn start(part: Part) -> std::io::Result<Upstream> {
        Upstream::start_with_burst(part, MAX_BYTES).await
    }

    /// Starts an upstream that sends about `burst` bytes of each answer at once, and the others slowly.
    ///
    /// Fails if no port can be bound.
    pub async fn start_with_burst(part: Part, burst: u64) -> std::io::Result<Upstream> {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
        let upstream = Upstream {
            address: listener.local_addr()?,
            burst,
            closed: sync::Arc::default(),
            sent: sync::Arc::default(),
        };
        let serving = upstream.clone();
        tokio::spawn(async move {
            while let Ok((stream, _peer)) = listener.accept().await {
                let serving = serving.clone();
                tokio::spawn(async move { serving.serve(stream, part).await });
            }
        });
        Ok(upstream)
    }

    /// Returns the number of connections that a caller has closed.
    #[must_use]
    pub fn count_closed(&self) -> usize {
        self.closed.load(atomic::Ordering::SeqCst)
    }

    /// Returns the most bytes sent over one connection.
    #[must_use]
    pub fn sent_bytes(&self) -> u64 {
        self.sent.load(atomic::Ordering::SeqCst)
    }

    async fn serve(&self, mut stream: tokio::net::TcpStream, part: Part) {
        let mut request = [0; 1024];
        if !matches!(stream.read(&mut request).await, Ok(1..)) {
            return;
        }
        let (once, piece) = part.pieces(PIECE_BYTES);
        let (_once, slow_piece) = part.pieces(SLOW_PIECE_BYTES);
        let mut begun = stream.write_all(once.as_bytes()).await;
        let mut sent = 0;
        while begun.is_ok() && sent < MAX_BYTES {
            let is_slow = sent >= self.burst;
            let piece = if is_slow { &slow_piece } else { &piece };
            if is_slow {
                tokio::time::sleep(PAUSE).await;
            }
            begun = stream.write_all(piece).await;
            let bytes = u64::try_from(piece.len()).unwrap_or(u64::MAX);
            sent += bytes;
            self.sent.fetch_max(sent, atomic::Ordering::SeqCst);
        }
        if begun.is_err() {
            self.closed.fetch_add(1, atomic::Ordering::SeqCst);
        }
    }
}
