//! HTTP/1.1 over plain sockets: what the stand-ins of callers, operators and runners need of it.

use std::io::{self, Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Head of a request or response.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// First line, split at spaces: method and path, or protocol and status.
    pub first: Vec<String>,
    /// Names in lower case, with their values.
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        self.get(name)?.trim().parse().ok()
    }

    pub fn status(&self) -> u16 {
        self.first.get(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    fn is_chunked(&self) -> bool {
        self.get("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked"))
    }
}

/// A connection with what has been read of it and not used yet.
pub struct Connection {
    pub stream: TcpStream,
    rest: Vec<u8>,
}

fn ended() -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, "connection closed")
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection { stream, rest: Vec::new() }
    }

    pub fn open(address: SocketAddr) -> io::Result<Connection> {
        TcpStream::connect_timeout(&address, Duration::from_secs(1)).map(Connection::new)
    }

    /// Sets the time after which a read fails.
    pub fn set_deadline(&self, deadline: Instant) {
        let left = deadline.saturating_duration_since(Instant::now());
        let _ = self.stream.set_read_timeout(Some(left.max(Duration::from_millis(1))));
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut bytes = [0; 16 << 10];
        match self.stream.read(&mut bytes)? {
            0 => Err(ended()),
            count => {
                self.rest.extend_from_slice(&bytes[..count]);
                Ok(())
            }
        }
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.rest.windows(2).position(|two| two == b"\r\n") {
                let line = String::from_utf8_lossy(&self.rest[..end]).into_owned();
                self.rest.drain(..end + 2);
                return Ok(line);
            }
            self.fill()?;
        }
    }

    pub fn read_head(&mut self) -> io::Result<Head> {
        let first = self.line()?.split(' ').map(str::to_owned).collect();
        let mut headers = Vec::new();
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Ok(Head { first, headers });
            }
            if let Some((name, value)) = line.split_once(':') {
                headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
    }

    fn exact(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.rest.len() < count {
            self.fill()?;
        }
        Ok(self.rest.drain(..count).collect())
    }

    /// Reads the next chunk of a chunked body; `None` at its end.
    pub fn read_chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let size = self.line()?;
        let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16);
        let size = size.map_err(|_| io::Error::new(io::ErrorKind::InvalidData, "no chunk"))?;
        let bytes = self.exact(size)?;
        self.line()?;
        Ok((size > 0).then_some(bytes))
    }

    pub fn read_body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if !head.is_chunked() {
            return self.exact(head.number("content-length").unwrap_or(0) as usize);
        }
        let mut body = Vec::new();
        while let Some(chunk) = self.read_chunk()? {
            body.extend(chunk);
        }
        Ok(body)
    }

    /// Returns whether the peer has closed the connection.
    pub fn is_closed(&self) -> bool {
        let _ = self.stream.set_nonblocking(true);
        let peeked = self.stream.peek(&mut [0]);
        let _ = self.stream.set_nonblocking(false);
        match peeked {
            Ok(count) => count == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

/// Sends one request on a new connection and returns the answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    limit: Duration,
) -> io::Result<(u16, Vec<u8>)> {
    let mut connection = Connection::open(address)?;
    connection.set_deadline(Instant::now() + limit);
    let length = body.len();
    connection.write(
        format!(
            "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n\
             Content-Length: {length}\r\nConnection: close\r\n\r\n{body}"
        )
        .as_bytes(),
    )?;
    let head = connection.read_head()?;
    let body = connection.read_body(&head)?;
    Ok((head.status(), body))
}
