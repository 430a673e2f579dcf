//! Asks a gateway where a request would go now, without sending the request.

use core::time;
use std::fs;
use std::io;
use std::net;

use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

/// Path at a gateway's health address before that of the request in question.
const PREFIX: &str = "/explain";

/// Bytes of an answer at most: a line for each upstream of a service.
const MAX_ANSWER_BYTES: u64 = 4 << 20;

/// A request and the gateway that is asked about it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Question {
    /// Health address of the gateway.
    pub gateway: net::SocketAddr,
    /// Headers as `NAME:VALUE`; a value `@FILE` stands for the first line of a file.
    pub headers: Vec<String>,
    /// Value of the `Host` header.
    pub host: String,
    /// Path, with its query.
    pub path: String,
}

/// What a gateway answered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
    /// Whether the request would be routed.
    pub is_routed: bool,
    /// Lines of the answer, each a list of `name=value`.
    pub lines: Vec<String>,
}

/// Reads a question from the words of the command line. The URL is `HOST/PATH`, with or without
/// `http://`.
pub fn parse(gateway: &str, url: &str, headers: &[&str]) -> Result<Question, String> {
    let gateway = gateway.parse();
    let gateway = gateway.map_err(|_error| "the gateway is not an IP:PORT".to_owned())?;
    let url = url.strip_prefix("http://").unwrap_or(url);
    let slash = url.find('/').ok_or("the URL has no path")?;
    let (host, path) = url.split_at(slash);
    let is_plain = |text: &str| !text.contains(|letter: char| letter.is_ascii_control());
    if !is_plain(url) || url.contains(' ') || !headers.iter().all(|header| is_plain(header)) {
        return Err("the URL or a header has a letter that may not be in it".to_owned());
    }
    if let Some(header) = headers.iter().find(|header| !header.contains(':')) {
        return Err(format!("the header {header:?} is not NAME:VALUE"));
    }
    Ok(Question {
        gateway,
        headers: headers.iter().map(|header| (*header).to_owned()).collect(),
        host: host.to_owned(),
        path: path.to_owned(),
    })
}

/// Asks the gateway; fails if a file cannot be read or no complete answer arrives within `limit`.
pub async fn ask(question: &Question, limit: time::Duration) -> io::Result<Answer> {
    let mut request = format!(
        "GET {PREFIX}{} HTTP/1.0\r\nhost: {}\r\n",
        question.path, question.host
    );
    for header in &question.headers {
        request += &format!("{}\r\n", fill_header(header)?);
    }
    request += "\r\n";
    let exchanged = exchange(question.gateway, &request);
    let answer = tokio::time::timeout(limit, exchanged).await??;
    let (head, body) = answer
        .split_once("\r\n\r\n")
        .ok_or(io::ErrorKind::UnexpectedEof)?;
    Ok(Answer {
        is_routed: head.split(' ').nth(1) == Some("200"),
        lines: body.lines().map(str::to_owned).collect(),
    })
}

async fn exchange(gateway: net::SocketAddr, request: &str) -> io::Result<String> {
    let mut stream = tokio::net::TcpStream::connect(gateway).await?;
    stream.write_all(request.as_bytes()).await?;
    let mut answer = String::new();
    let mut bounded = stream.take(MAX_ANSWER_BYTES);
    bounded.read_to_string(&mut answer).await?;
    if bounded.limit() == 0 {
        let why = format!("answer of {MAX_ANSWER_BYTES} bytes or more");
        return Err(io::Error::other(why));
    }
    Ok(answer)
}

/// Returns a header line, with the value from its file if it names one.
fn fill_header(header: &str) -> io::Result<String> {
    let (name, value) = header.split_once(':').unwrap_or((header, ""));
    let value = match value.trim().strip_prefix('@') {
        Some(file) => {
            let text = fs::read_to_string(file)?;
            text.lines().next().unwrap_or_default().trim().to_owned()
        }
        None => value.trim().to_owned(),
    };
    Ok(format!("{name}: {value}"))
}

/// Returns the values of a line by their names.
pub fn read_values(line: &str) -> serde_json::Map<String, serde_json::Value> {
    let words = line.split(' ').filter_map(|word| word.split_once('='));
    let values = words.map(|(name, value)| (name.to_owned(), value.into()));
    values.collect()
}
