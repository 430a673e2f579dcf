//! Extreme values in headers: the request is served or refused, and the next one is served.

mod support;

use std::net;

use bytes::Bytes;
use http_body_util::Full;
use peargap_wire::fleet as wire;
use support::generation;
use support::request;
use support::Fixture;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

/// Starts an upstream that answers each request whole, with these headers.
async fn start_upstream(headers: &'static str) -> net::SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _peer)) = listener.accept().await {
            tokio::spawn(async move {
                let mut buffer = [0; 4096];
                while stream.read(&mut buffer).await.is_ok_and(|read| read > 0) {
                    let answer = format!(
                        "HTTP/1.1 200 OK\r\nserver-signature: proof\r\nattempt-id: 9c41\r\n\
                         {headers}content-length: 2\r\n\r\nok"
                    );
                    stream.write_all(answer.as_bytes()).await.expect("a caller");
                }
            });
        }
    });
    address
}

#[tokio::test]
async fn an_answer_with_an_extreme_keep_alive_is_delivered() {
    for value in [
        "18446744073709551615",
        "9223372036854775807",
        "99999999999",
        "0",
    ] {
        let headers = format!("keep-alive: timeout={value}\r\n").leak();
        let fixture = Fixture::start(&[]).await;
        let status = wire::Upstream {
            address: start_upstream(headers).await.to_string(),
            name: "extreme".to_owned(),
            ..support::new_upstream()
        };
        fixture.control.announce_upstream(status).await;
        let mut caller = fixture.connect().await;
        for _request in 0..3 {
            let response = caller.call(request("/once/", "")).await;
            assert_eq!((response.status, &response.body[..]), (200, &b"ok"[..]));
        }
    }
}

fn with_deadline(
    mut request: http::Request<Full<Bytes>>,
    value: &str,
) -> http::Request<Full<Bytes>> {
    let value = http::HeaderValue::from_str(value).expect("a value");
    request.headers_mut().insert("deadline-ms", value);
    request
}

#[tokio::test]
async fn a_request_whose_time_is_over_reaches_no_upstream() {
    let fixture = Fixture::start(&["d1", "p1"]).await;
    for value in ["0", "0.4"] {
        for request in [generation(), request("/once/", ""), request("/plain/", "")] {
            let response = fixture.call(with_deadline(request, value)).await;
            assert_eq!(response.status, 503, "{value}");
        }
    }
    assert!(fixture
        .runners
        .values()
        .all(|one| one.arrivals().is_empty()));
}
