//! Crowds of clients that send much, stop short of the end and stay connected.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use bytes::Bytes;
use futures::StreamExt as _;
use http_body_util::StreamBody;
use hyper::body;
use hyper::client::conn::http2;
use hyper_util::rt;
use tokio::io::AsyncWriteExt as _;

/// Time after which a client stops sending, whether or not its peer has taken everything.
const SEND_TIMEOUT: time::Duration = time::Duration::from_secs(20);
/// Bytes that are handed to a connection at once.
const WRITE_BYTES: usize = 64 << 10;
/// Bytes that the system takes for a client that does not read.
const UNREAD_BUFFER_BYTES: u32 = 4 << 10;
/// Bytes of the head of a message between processes: a flag and a length.
const MESSAGE_HEAD_BYTES: usize = 5;

/// What a client of HTTP/2 sends first, with empty settings.
const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0";

/// How a client sends its body.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Body {
    /// `announced` bytes are announced and `sent` bytes are sent.
    Announced { announced: usize, sent: usize },
    /// `sent` bytes are sent in chunks of `chunk` bytes, without the last chunk.
    Chunked { chunk: usize, sent: usize },
    /// The head does not end.
    HalfHead,
    /// Nothing is sent but the preface of HTTP/2.
    Preface,
    /// There is none, and the answer is not read.
    Unread,
}

/// Clients that stay connected until this is dropped.
#[derive(Debug, Default)]
pub(crate) struct Crowd {
    connections: Vec<tokio::task::JoinHandle<()>>,
}

impl Drop for Crowd {
    fn drop(&mut self) {
        for connection in &self.connections {
            connection.abort();
        }
    }
}

impl Crowd {
    /// Starts clients that send a request to `path`, and returns once all have sent what they
    /// could.
    pub(crate) async fn start(
        address: net::SocketAddr,
        path: &str,
        clients: usize,
        body: Body,
    ) -> Crowd {
        let progress = Progress::default();
        let mut crowd = Crowd::default();
        for _client in 0..clients {
            let head = format!(
                "{path} HTTP/1.1\r\nhost: h\r\nattempt-id: 7\r\nx-api-key: k1\r\n\
                authorization: Bearer {}\r\ndeadline-ms: 60000\r\n",
                crate::settings::TEAM_KEY
            );
            let mut progress = progress.clone();
            crowd.connections.push(tokio::spawn(async move {
                let mut stream = connect(address, body).await.expect("a connection");
                // The peer may close the connection at any time.
                let _ = tokio::time::timeout(SEND_TIMEOUT, send(&mut stream, head, body)).await;
                progress.finish();
                core::future::pending::<()>().await;
            }));
        }
        progress.wait(clients).await;
        crowd
    }

    /// Starts `connections` over HTTP/2 with `streams` requests each. Each request announces a
    /// message longer than `sent` bytes, sends these and stops.
    pub(crate) async fn start_http2(
        address: net::SocketAddr,
        path: &str,
        (connections, streams): (usize, usize),
        sent: usize,
    ) -> Crowd {
        let progress = Progress::default();
        let mut crowd = Crowd::default();
        for _connection in 0..connections {
            let stream = tokio::net::TcpStream::connect(address).await;
            let io = rt::TokioIo::new(stream.expect("a connection"));
            let handshake = http2::handshake(rt::TokioExecutor::new(), io).await;
            let (sender, connection) = handshake.expect("a connection");
            crowd.connections.push(tokio::spawn(async move {
                let _ = connection.await;
            }));
            for _stream in 0..streams {
                let request = build_request(address, path, sent, progress.clone());
                let mut sender = sender.clone();
                crowd.connections.push(tokio::spawn(async move {
                    let answer = sender.send_request(request).await;
                    drop(answer);
                    core::future::pending::<()>().await;
                }));
            }
        }
        progress.wait(connections * streams).await;
        crowd
    }
}

async fn connect(address: net::SocketAddr, body: Body) -> std::io::Result<tokio::net::TcpStream> {
    let socket = tokio::net::TcpSocket::new_v4()?;
    if matches!(body, Body::Unread) {
        // The answer stays with the peer.
        socket.set_recv_buffer_size(UNREAD_BUFFER_BYTES)?;
    }
    socket.connect(address).await
}

async fn send(stream: &mut tokio::net::TcpStream, head: String, body: Body) -> std::io::Result<()> {
    match body {
        Body::HalfHead => stream.write_all(head.as_bytes()).await,
        Body::Preface => stream.write_all(PREFACE).await,
        Body::Unread => stream.write_all(format!("{head}\r\n").as_bytes()).await,
        Body::Announced { announced, sent } => {
            let head = format!("{head}content-length: {announced}\r\n\r\n");
            stream.write_all(head.as_bytes()).await?;
            let piece = vec![b'x'; WRITE_BYTES];
            let mut left = sent;
            while left > 0 {
                let length = left.min(WRITE_BYTES);
                stream.write_all(&piece[..length]).await?;
                left -= length;
            }
            Ok(())
        }
        Body::Chunked { chunk, sent } => {
            let head = format!("{head}transfer-encoding: chunked\r\n\r\n");
            stream.write_all(head.as_bytes()).await?;
            let one = format!("{chunk:x}\r\n{}\r\n", "x".repeat(chunk));
            let count = (WRITE_BYTES / chunk).max(1);
            let piece = one.repeat(count);
            let mut left = sent / chunk;
            while left > 0 {
                let length = left.min(count);
                stream
                    .write_all(&piece.as_bytes()[..length * one.len()])
                    .await?;
                left -= length;
            }
            Ok(())
        }
    }
}

type Frames = StreamBody<
    futures::stream::BoxStream<'static, Result<body::Frame<Bytes>, core::convert::Infallible>>,
>;

fn build_request(
    address: net::SocketAddr,
    path: &str,
    sent: usize,
    mut progress: Progress,
) -> http::Request<Frames> {
    let mut head = vec![0; MESSAGE_HEAD_BYTES];
    let announced = u32::try_from(sent + 1).expect("few");
    head[1..].copy_from_slice(&announced.to_be_bytes());
    let piece = Bytes::from(vec![b'x'; WRITE_BYTES]);
    let pieces = vec![piece; sent / WRITE_BYTES];
    let frames = futures::stream::iter(core::iter::once(Bytes::from(head)).chain(pieces));
    let stopped = futures::stream::once(async move {
        progress.finish();
        core::future::pending::<Bytes>().await
    });
    let frames = frames
        .chain(stopped)
        .map(|piece| Ok(body::Frame::data(piece)));
    http::Request::post(format!("http://{address}{path}"))
        .header(
            "authorization",
            format!("Bearer {}", crate::settings::TEAM_KEY),
        )
        .header("content-type", "application/grpc")
        .header("te", "trailers")
        .body(StreamBody::new(frames.boxed()))
        .expect("a request")
}

/// Counts clients that have sent what they could; clones share it. One that is dropped counts too.
#[derive(Clone, Debug, Default)]
struct Progress {
    finished: sync::Arc<atomic::AtomicUsize>,
    is_finished: bool,
}

impl Progress {
    fn finish(&mut self) {
        if !core::mem::replace(&mut self.is_finished, true) {
            self.finished.fetch_add(1, atomic::Ordering::SeqCst);
        }
    }

    async fn wait(&self, clients: usize) {
        let waiting = async {
            while self.finished.load(atomic::Ordering::SeqCst) < clients {
                tokio::time::sleep(time::Duration::from_millis(20)).await;
            }
        };
        // Streams that the peer does not take on are not finished; what the others sent counts.
        let _ = tokio::time::timeout(SEND_TIMEOUT, waiting).await;
    }
}
