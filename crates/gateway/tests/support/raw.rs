//! Upstream that answers with bytes that a test chooses.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

/// Header of a response that is a stream of events.
pub(crate) const STREAM: &str = "content-type: text/event-stream\r\n";
/// Bytes of a request at most.
const MAX_REQUEST_BYTES: usize = 16 << 10;

/// What an upstream does in answer to a request.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    /// Closes the connection.
    Close,
    /// Counts the connection once a later step finds that the caller has closed it.
    OnClose(sync::Arc<atomic::AtomicUsize>),
    /// Resets the connection.
    Reset,
    /// Sends bytes.
    Send(String),
    /// Waits.
    Wait(time::Duration),
}

/// A request that an upstream has read.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Request<'a> {
    /// Number of its connection, from 0.
    pub(crate) connection: usize,
    /// Its number on its connection, from 0.
    pub(crate) number: usize,
    /// Head and body, as received.
    pub(crate) text: &'a str,
}

impl Request<'_> {
    /// Returns the value of a header; empty without it.
    pub(crate) fn header(&self, name: &str) -> &str {
        let mut lines = self.text.lines();
        let prefix = format!("{name}: ");
        let value = lines.find_map(|line| line.strip_prefix(prefix.as_str()));
        value.unwrap_or_default()
    }

    /// Returns the value of a text in a flat JSON body; empty without it.
    pub(crate) fn field(&self, name: &str) -> &str {
        let prefix = format!("\"{name}\":\"");
        let rest = self.text.split_once(prefix.as_str());
        let value = rest.and_then(|(_before, rest)| rest.split_once('"'));
        value.map_or("", |(value, _after)| value)
    }

    /// Returns whether its head begins with this method and path.
    pub(crate) fn is(&self, start: &str) -> bool {
        self.text.starts_with(start)
    }
}

/// Returns what to do about a request.
pub(crate) type Script = sync::Arc<dyn Fn(Request<'_>) -> Vec<Step> + Send + Sync>;

/// Starts an upstream, which serves until the runtime shuts down. The script gets the number of a
/// request on its connection, from 0, and its attempt ID.
pub(crate) async fn start(
    script: impl Fn(usize, &str) -> Vec<Step> + Send + Sync + 'static,
) -> net::SocketAddr {
    start_engine(move |request| script(request.number, request.header("attempt-id"))).await
}

/// Starts an upstream whose script sees the whole request.
pub(crate) async fn start_engine(
    script: impl Fn(Request<'_>) -> Vec<Step> + Send + Sync + 'static,
) -> net::SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a port");
    let address = listener.local_addr().expect("an address");
    let script: Script = sync::Arc::new(script);
    tokio::spawn(async move {
        for connection in 0.. {
            let Ok((stream, _peer)) = listener.accept().await else {
                return;
            };
            let script = script.clone();
            // Ends with its connection.
            tokio::spawn(async move { serve(stream, connection, script).await });
        }
    });
    address
}

/// Returns a step that sends the head of a signed answer, with these headers.
pub(crate) fn head(attempt: &str, headers: &str) -> Step {
    Step::Send(format!(
        "HTTP/1.1 200 OK\r\nserver-signature: proof\r\nattempt-id: {attempt}\r\n{headers}\r\n"
    ))
}

/// Returns a step that sends text.
pub(crate) fn send(text: &str) -> Step {
    Step::Send(text.to_owned())
}

/// Returns the text of an event.
pub(crate) fn event(id: u64) -> String {
    format!("id: {id}\ndata: t{id}\n\n")
}

async fn serve(mut stream: tokio::net::TcpStream, connection: usize, script: Script) {
    let mut buffer = [0; MAX_REQUEST_BYTES];
    let mut closed = sync::Arc::default();
    for number in 0.. {
        let Ok(read) = stream.read(&mut buffer).await else {
            return;
        };
        if read == 0 {
            return;
        }
        let request = String::from_utf8_lossy(&buffer[..read]).into_owned();
        let request = Request {
            connection,
            number,
            text: &request,
        };
        for step in script(request) {
            match step {
                Step::Close => return,
                Step::OnClose(count) => closed = count,
                Step::Reset => {
                    let socket = socket2::SockRef::from(&stream);
                    let linger = Some(time::Duration::ZERO);
                    socket.set_linger(linger).expect("a socket");
                    return;
                }
                Step::Send(text) => {
                    if stream.write_all(text.as_bytes()).await.is_err() {
                        closed.fetch_add(1, atomic::Ordering::SeqCst);
                        return;
                    }
                }
                Step::Wait(length) => tokio::time::sleep(length).await,
            }
        }
    }
}
