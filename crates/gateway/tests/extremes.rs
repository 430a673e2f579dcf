//! Extreme values in headers: the request is served or refused, and the next one is served.

mod support;

use bytes::Bytes;
use http_body_util::Full;
use support::caller::generation;
use support::caller::request;
use support::raw;
use support::Fixture;

#[tokio::test]
async fn an_answer_with_an_extreme_keep_alive_is_delivered() {
    for value in [
        "18446744073709551615",
        "9223372036854775807",
        "99999999999",
        "0",
    ] {
        let headers = format!("keep-alive: timeout={value}\r\ncontent-length: 2\r\n");
        let upstream =
            move |_number, attempt: &str| vec![raw::head(attempt, &headers), raw::send("ok")];
        let fixture = Fixture::start_at(raw::start(upstream).await, "desk").await;
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
