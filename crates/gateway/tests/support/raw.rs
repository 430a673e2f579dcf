//! Upstream that answers with bytes that a test chooses.

use std::net;
use std::sync;
use std::time;

use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

/// Bytes of a request at most.
const MAX_REQUEST_BYTES: usize = 16 << 10;

/// What an upstream does in answer to a request.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    /// Closes the connection.
    Close,
    /// Resets the connection.
    Reset,
    /// Sends bytes.
    Send(String),
    /// Waits.
    Wait(time::Duration),
}

/// Returns what to do about a request, by its number on its connection, from 0, and its attempt ID.
pub(crate) type Script = sync::Arc<dyn Fn(usize, &str) -> Vec<Step> + Send + Sync>;

/// Starts an upstream, which serves until the runtime shuts down.
pub(crate) async fn start(
    script: impl Fn(usize, &str) -> Vec<Step> + Send + Sync + 'static,
) -> net::SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a port");
    let address = listener.local_addr().expect("an address");
    let script: Script = sync::Arc::new(script);
    tokio::spawn(async move {
        while let Ok((stream, _peer)) = listener.accept().await {
            let script = script.clone();
            // Ends with its connection.
            tokio::spawn(async move { serve(stream, script).await });
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

async fn serve(mut stream: tokio::net::TcpStream, script: Script) {
    let mut buffer = [0; MAX_REQUEST_BYTES];
    for number in 0.. {
        let Ok(read) = stream.read(&mut buffer).await else {
            return;
        };
        if read == 0 {
            return;
        }
        let request = String::from_utf8_lossy(&buffer[..read]).into_owned();
        let mut lines = request.lines();
        let attempt = lines.find_map(|line| line.strip_prefix("attempt-id: "));
        for step in script(number, attempt.unwrap_or_default()) {
            match step {
                Step::Close => return,
                Step::Reset => {
                    let socket = socket2::SockRef::from(&stream);
                    let linger = Some(time::Duration::ZERO);
                    socket.set_linger(linger).expect("a socket");
                    return;
                }
                Step::Send(text) => {
                    if stream.write_all(text.as_bytes()).await.is_err() {
                        return;
                    }
                }
                Step::Wait(length) => tokio::time::sleep(length).await,
            }
        }
    }
}
