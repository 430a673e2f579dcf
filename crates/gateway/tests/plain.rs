//! Plain calls: which requests reach upstreams, and whether the responses to callers agree with
//! that.

mod support;

use std::time;

use peargap_fake::runner;
use peargap_wire::fleet as wire;
use support::request;
use support::Site;

fn count_runs(site: &Site) -> usize {
    site.runners
        .values()
        .map(|runner| runner.runs().len())
        .sum()
}

#[tokio::test]
async fn an_answer_is_passed_on_with_its_proof() {
    let site = Site::start(&["d1"]).await;
    let answer = site.call(request("/once/a%20b?c=d", "body")).await;
    assert_eq!((answer.status, answer.body.as_ref()), (200, &b"body"[..]));
    assert_eq!(answer.headers["server-signature"], "proof");
    assert_eq!(answer.headers["attempt-id"], "9c41");
    let run = site.runner("d1").runs().remove(0);
    assert_eq!(run.path, "/once/a%20b?c=d");
    assert_eq!(run.headers["tenant"], "red");
    assert_eq!(run.headers["target-instance"], "d1");
    assert!(!run.headers.contains_key("x-api-key"));
    let left: u64 = run.headers["deadline-ms"]
        .to_str()
        .unwrap()
        .parse()
        .unwrap();
    assert!((2000..=3000).contains(&left), "{left}");
}

#[tokio::test]
async fn own_refusals_say_why() {
    let site = Site::start(&["d1"]).await;
    let answer = site.call(request("/nowhere/", "")).await;
    assert_eq!(answer.status, 404);
    let mut unknown = request("/once/", "");
    let key = http::HeaderValue::from_static("k9");
    unknown.headers_mut().insert("x-api-key", key);
    assert_eq!(site.call(unknown).await.status, 401);
    let mut open = request("/open/", "");
    open.headers_mut().remove("x-api-key");
    assert_eq!(site.call(open).await.status, 200);
    let long: &'static str = Box::leak("x".repeat(1001).into_boxed_str());
    assert_eq!(site.call(request("/once/", long)).await.status, 413);
    assert_eq!(count_runs(&site), 1);
}

#[tokio::test]
async fn without_routes_or_upstreams_it_says_when_to_come_back() {
    let site = Site::start_empty().await;
    let answer = site.call(request("/once/", "")).await;
    assert_eq!(answer.status, 503);
    assert!(answer.headers.contains_key("retry-after"));
    let site = Site::start(&[]).await;
    let answer = site.call(request("/once/", "")).await;
    assert_eq!(answer.status, 503);
    assert!(answer.headers.contains_key("retry-after"));
}

#[tokio::test]
async fn a_refused_call_goes_to_another_upstream() {
    let site = Site::start(&["d1", "d2"]).await;
    site.runner("d1").behave(runner::Behaviour::Shed);
    for _call in 0..6 {
        assert_eq!(site.call(request("/once/", "")).await.status, 200);
    }
    assert_eq!(site.runner("d2").runs().len(), 6);
}

#[tokio::test]
async fn when_all_refuse_the_caller_hears_that_it_has_not_run() {
    let site = Site::start(&["d1", "d2"]).await;
    site.runner("d1").behave(runner::Behaviour::Shed);
    site.runner("d2").behave(runner::Behaviour::Shed);
    let answer = site.call(request("/once/", "")).await;
    assert_eq!(answer.status, 503);
    assert!(answer.headers.contains_key("retry-after"));
    assert_eq!(count_runs(&site), 0);
}

#[tokio::test]
async fn what_may_have_run_once_is_not_run_again() {
    let site = Site::start(&["d1", "d2"]).await;
    for behaviour in [
        runner::Behaviour::Reset,
        runner::Behaviour::OtherAttempt,
        runner::Behaviour::Unsigned,
    ] {
        let before = count_runs(&site);
        site.runner("d1").behave(behaviour);
        site.runner("d2").behave(behaviour);
        let answer = site.call(request("/once/", "")).await;
        assert_eq!(answer.status, 502, "{behaviour:?}");
        assert!(!answer.headers.contains_key("server-signature"));
        assert_eq!(count_runs(&site) - before, 1, "{behaviour:?}");
    }
}

#[tokio::test]
async fn an_upstream_s_own_failure_is_passed_on() {
    let site = Site::start(&["d1", "d2"]).await;
    site.runner("d1").behave(runner::Behaviour::Fail);
    site.runner("d2").behave(runner::Behaviour::Fail);
    let answer = site.call(request("/once/", "why")).await;
    assert_eq!((answer.status, answer.body.as_ref()), (500, &b"why"[..]));
    assert_eq!(answer.headers["server-signature"], "proof");
    assert_eq!(count_runs(&site), 1);
}

#[tokio::test]
async fn what_may_repeat_is_tried_at_as_many_upstreams_as_its_route_allows() {
    let site = Site::start(&["d1", "d2", "d3"]).await;
    for name in ["d1", "d2", "d3"] {
        site.runner(name).behave(runner::Behaviour::Reset);
    }
    assert_eq!(site.call(request("/plain/", "")).await.status, 502);
    assert_eq!(count_runs(&site), 2);
}

#[tokio::test]
async fn a_leaving_upstream_gets_no_new_work() {
    let site = Site::start(&["d1", "d2"]).await;
    site.drain("d1").await;
    for _call in 0..6 {
        assert_eq!(site.call(request("/once/", "")).await.status, 200);
    }
    assert_eq!(site.runner("d1").runs().len(), 0);
}

#[tokio::test]
async fn a_domain_out_of_service_gets_no_new_work() {
    let site = Site::start(&["d1"]).await;
    let outage = |revision, domains: &[&str]| wire::Update {
        outage: Some(wire::Outage {
            domains: domains.iter().map(|name| (*name).to_owned()).collect(),
            revision,
        }),
        ..wire::Update::default()
    };
    site.control.tell(outage(5, &["a"])).await;
    // An older revision, as from a control host that lags behind, must be ignored.
    site.control.tell(outage(4, &[])).await;
    site.control
        .announce(site.runner("d1"), "desk", wire::State::Ready, 2)
        .await;
    assert_eq!(site.call(request("/once/", "")).await.status, 503);
    site.control.tell(outage(6, &[])).await;
    site.control
        .announce(site.runner("d1"), "desk", wire::State::Ready, 3)
        .await;
    assert_eq!(site.call(request("/once/", "")).await.status, 200);
}

#[tokio::test]
async fn an_address_that_another_start_took_over_is_not_served_by_it() {
    let site = Site::start(&["d1"]).await;
    let mut stranger = site.runner("d1").clone();
    "gone".clone_into(&mut stranger.name);
    site.drain("d1").await;
    site.control
        .announce(&stranger, "desk", wire::State::Ready, 1)
        .await;
    let answer = site.call(request("/once/", "")).await;
    assert_eq!(answer.status, 503);
    assert_eq!(count_runs(&site), 0);
}

#[tokio::test]
async fn a_stop_answers_what_was_asked_and_is_not_ready() {
    let site = Site::start(&["p1", "p2"]).await;
    for name in ["p1", "p2"] {
        let pace = time::Duration::from_millis(40);
        site.runner(name).set_events(100, pace);
    }
    let mut caller = site.connect().await;
    let calling = tokio::spawn(async move { caller.call(support::generation()).await });
    site.find_running().await;
    site.stop.cancel();
    let answer = calling.await.expect("an answer");
    assert!(answer.is_whole);
    assert_eq!(answer.ids().len(), 100);
    site.ended.await.expect("the gateway ends");
}

#[tokio::test]
async fn a_head_longer_than_the_document_allows_is_refused() {
    let site = Site::start(&["d1"]).await;
    let mut long = request("/plain/x", "body");
    let filler = http::HeaderValue::from_str(&"x".repeat(10_000)).expect("a value");
    long.headers_mut().insert("filler", filler);
    let answer = site.call(long).await;
    assert_eq!(answer.status, 431);
    assert!(site.runner("d1").runs().is_empty());
    let mut short = request("/plain/x", "body");
    let filler = http::HeaderValue::from_str(&"x".repeat(7_000)).expect("a value");
    short.headers_mut().insert("filler", filler);
    assert_eq!(site.call(short).await.status, 200);
}

#[tokio::test]
async fn a_connection_idle_for_longer_than_the_document_allows_is_closed() {
    /// The document's idle timeout; a request after four fifths of it must still succeed.
    const IDLE: time::Duration = time::Duration::from_secs(2);
    let site = Site::start(&["d1"]).await;
    let mut caller = site.connect().await;
    assert_eq!(caller.call(request("/plain/x", "body")).await.status, 200);
    tokio::time::sleep(IDLE * 4 / 5).await;
    assert_eq!(caller.call(request("/plain/x", "body")).await.status, 200);
    let closed = tokio::time::timeout(IDLE * 2, caller.task).await;
    assert!(closed.is_ok(), "open after {IDLE:?} and as much again");
}
