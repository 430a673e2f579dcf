//! Questions where a request would go: the answer names each upstream with its figures and what
//! speaks against it, and nothing is sent.

mod support;

use peargap_fake::runner;
use support::Fixture;

/// Asks where a request would go; returns the status and the lines of the answer.
async fn ask(
    fixture: &Fixture,
    mut request: http::Request<http_body_util::Full<bytes::Bytes>>,
) -> (u16, Vec<String>) {
    let path = format!("/explain{}", request.uri());
    *request.uri_mut() = path.parse().expect("a path");
    let mut caller = support::caller::Caller::connect(fixture.health).await;
    let response = caller.call(request).await;
    let text = String::from_utf8_lossy(&response.body).into_owned();
    (response.status, text.lines().map(str::to_owned).collect())
}

fn find<'a>(lines: &'a [String], upstream: &str) -> &'a str {
    let start = format!("upstream={upstream} ");
    let mut lines = lines.iter();
    let line = lines.find(|line| line.starts_with(&start));
    line.expect("a line of the upstream")
}

#[tokio::test]
async fn each_upstream_is_listed_with_the_reason() {
    let fixture = Fixture::start(&["d1", "p1", "p2", "p3"]).await;
    fixture.drain("p2").await;
    let (status, lines) = ask(&fixture, support::caller::generation()).await;
    assert_eq!(status, 200);
    assert_eq!(
        lines[0],
        "version=3 route=stream kind=Stream team=red service=pool tokens=1100 quarantined_by=none"
    );
    assert!(find(&lines, "p1").ends_with("verdict=candidate"));
    assert!(find(&lines, "p2").ends_with("verdict=Draining"));
    assert!(find(&lines, "p2").contains("chosen=0.0%"));
    assert!(["choice=p1", "choice=p3"].contains(&lines[4].as_str()));
    assert_eq!(lines.len(), 5);
    let runs = fixture.runners.values().map(runner::Runner::runs);
    assert_eq!(runs.flatten().count(), 0);
}

#[tokio::test]
async fn an_engine_without_room_and_an_upstream_in_a_pause_say_so() {
    let fixture = Fixture::start(&["d1", "p1"]).await;
    let mut large = support::caller::generation();
    let usage = http::HeaderValue::from_static("40000,400");
    large.headers_mut().insert("token-usage", usage);
    let (_status, lines) = ask(&fixture, large).await;
    assert!(find(&lines, "p1").ends_with("verdict=full"));
    assert_eq!(lines.last().expect("a line"), "choice=none");
    fixture.runner("d1").reject_with_retry_after("5");
    fixture.call(support::caller::request("/once/", "")).await;
    let (_status, lines) = ask(&fixture, support::caller::request("/once/", "")).await;
    assert!(find(&lines, "d1").contains("verdict=paused pause_ms="));
    assert_eq!(lines.last().expect("a line"), "choice=none");
}

#[tokio::test]
async fn a_request_without_route_or_key_is_refused_like_the_request_itself() {
    let fixture = Fixture::start(&["d1"]).await;
    let (status, lines) = ask(&fixture, support::caller::request("/nowhere/", "")).await;
    assert_eq!(
        (status, lines[0].as_str()),
        (404, "choice=none why=route_unknown")
    );
    let mut unknown = support::caller::request("/once/", "");
    unknown.headers_mut().remove("x-api-key");
    let (status, lines) = ask(&fixture, unknown).await;
    assert_eq!(
        (status, lines[0].as_str()),
        (401, "choice=none why=key_unknown")
    );
}
