//! HTTP/1.1 as far as the stand-ins need it: requests and responses with a length, chunks, or the end of
//! the connection.

use std::io::{self, BufRead as _, BufReader, Read as _, Write as _};
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::time::Duration;

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    /// Headers with names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body ended as it had to.
    pub is_whole: bool,
}

impl Message {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the target of a request.
    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        let text = self.first.split(' ').nth(1).unwrap_or("");
        text.parse().unwrap_or(0)
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads a head; `None` if the connection ends before one begins.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.first = line.trim_end().to_owned();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = line.split_once(':') {
            let name = name.to_ascii_lowercase();
            message.headers.push((name, value.trim().to_owned()));
        }
    }
}

/// Reads a whole request; `None` if the connection ends before one begins.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    let length = message.header("content-length");
    let length = length.and_then(|text| text.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)?;
    message.is_whole = true;
    Ok(Some(message))
}

/// Reads the body of a response into `message`, and calls `seen` with all that has arrived so far.
pub fn read_body(
    reader: &mut BufReader<TcpStream>,
    message: &mut Message,
    mut seen: impl FnMut(&[u8]),
) -> io::Result<()> {
    let is_chunked = message.header("transfer-encoding") == Some("chunked");
    let length = message.header("content-length");
    let length: Option<usize> = length.and_then(|text| text.parse().ok());
    if is_chunked {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = usize::from_str_radix(line.trim(), 16);
            let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            message.body.extend_from_slice(&chunk[..size]);
            seen(&message.body);
            if size == 0 {
                break;
            }
        }
    } else if let Some(length) = length {
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
        seen(&message.body);
    } else {
        reader.read_to_end(&mut message.body)?;
        seen(&message.body);
    }
    message.is_whole = true;
    Ok(())
}

/// Opens a connection.
pub fn connect(address: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    Ok(stream)
}

/// Formats a request.
pub fn format_request(
    method: &str,
    path: &str,
    host: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || method != "GET" {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends one request on a connection of its own and returns the response.
pub fn call(address: SocketAddr, request: &[u8], timeout: Duration) -> io::Result<Message> {
    let mut stream = connect(address, timeout)?;
    stream.write_all(request)?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?;
    let mut message = head.ok_or(io::Error::from(io::ErrorKind::UnexpectedEof))?;
    read_body(&mut reader, &mut message, |_| {})?;
    Ok(message)
}

/// Returns the address at a port of a machine.
pub fn at(ip: IpAddr, port: u16) -> SocketAddr {
    SocketAddr::new(ip, port)
}
