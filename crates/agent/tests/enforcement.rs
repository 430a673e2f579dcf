//! Refusals by lease, failure domain, fence and claim; model orders, service calls and load
//! reports.

mod support;

use core::time;

use peargap_wire::agent as wire;
use peargap_wire::control as control_wire;
use support::control;
use support::engine;
use support::process;
use support::relay;

struct Fixture {
    agent: process::Agent,
    control: control::Control,
    engine: engine::Engine,
    /// Relay between the agent and the upstream.
    upstream_relay: relay::Relay,
}

async fn start_fixture(kind: &str) -> Fixture {
    let (control, control_address) = control::Control::start().await;
    let (engine, address) = engine::Engine::start().await;
    let upstream_relay = relay::Relay::start(address).await;
    let agent = process::Agent::start(kind, control_address, upstream_relay.address, "").await;
    Fixture {
        agent,
        control,
        engine,
        upstream_relay,
    }
}

fn call(request: &str, claim: Option<wire::Claim>) -> wire::CallRequest {
    let header = wire::Header {
        name: "idempotency-key".to_owned(),
        value: "k1".into(),
    };
    wire::CallRequest {
        request: request.to_owned(),
        team: "archive".to_owned(),
        service: "loans".to_owned(),
        method: "POST".to_owned(),
        path: "/orders-of-mine".to_owned(),
        headers: vec![header],
        deadline_ms: 2_000,
        claim,
        ..wire::CallRequest::default()
    }
}

fn claim(fence: u64) -> Option<wire::Claim> {
    Some(wire::Claim {
        key: "archive/loans/k1".to_owned(),
        fence,
    })
}

async fn run(fixture: &Fixture, call: wire::CallRequest) -> Result<wire::Response, wire::Failed> {
    let reply = support::connect(fixture.agent.address)
        .await
        .call(call)
        .await
        .unwrap();
    match reply.into_inner().kind.unwrap() {
        wire::call_reply::Kind::Response(response) => Ok(response),
        wire::call_reply::Kind::Failed(failed) => Err(failed),
    }
}

async fn try_start(fixture: &Fixture, request: &str) -> Option<wire::Failed> {
    let mut link = support::open(fixture.agent.address, support::start_request(request, 3)).await;
    let mut received = support::Received::default();
    link.read_all(&mut received).await;
    received.failed
}

#[tokio::test]
async fn domain_out_refuses_within_two_seconds_and_running_work_goes_on() {
    let fixture = start_fixture("engine").await;
    let mut running = support::open(fixture.agent.address, support::start_request("r0", 150)).await;
    let mut received = support::Received::default();
    running.read(&mut received, 5).await;
    let started_at = tokio::time::Instant::now();
    fixture
        .control
        .change(|config| config.domains_out.push("a".to_owned()));
    fixture.agent.wait_ready(false).await;
    assert!(started_at.elapsed() < time::Duration::from_secs(2));
    let failed = try_start(&fixture, "r1").await.expect("not refused");
    assert_eq!(
        (failed.ran(), failed.reason()),
        (wire::Ran::No, wire::Reason::Draining)
    );
    assert!(failed.retry_after_ms > 0);
    running.read_all(&mut received).await;
    assert_eq!(received.text, support::full_text(150));
    fixture.control.change(|config| config.domains_out.clear());
    fixture.agent.wait_ready(true).await;
    assert_eq!(try_start(&fixture, "r2").await, None);
    let (_, metrics) = fixture.agent.read("/metrics").await.unwrap();
    let mut lines = metrics.lines();
    let signs = lines.find(|line| line.starts_with("peargap_agent_cold_signs_total{"));
    assert!(signs.is_some_and(|line| line.ends_with(" 1")), "{signs:?}");
}

#[tokio::test]
async fn lapsed_lease_refuses_as_stale() {
    let fixture = start_fixture("engine").await;
    fixture.control.set_grants(false);
    fixture.agent.wait_ready(false).await;
    let failed = try_start(&fixture, "r1").await.expect("not refused");
    assert_eq!(
        (failed.ran(), failed.reason()),
        (wire::Ran::No, wire::Reason::Stale)
    );
    assert_eq!(fixture.engine.inspect(|state| state.starts), 0);
    fixture.control.set_grants(true);
    fixture.agent.wait_ready(true).await;
    assert_eq!(try_start(&fixture, "r1").await, None);
}

#[tokio::test]
async fn unknown_model_is_refused() {
    let fixture = start_fixture("engine").await;
    let wire::up::Kind::Start(mut start) = support::start_request("r1", 3) else {
        unreachable!("a start");
    };
    start.model = "other".to_owned();
    let mut link = support::open(fixture.agent.address, wire::up::Kind::Start(start)).await;
    let mut received = support::Received::default();
    link.read_all(&mut received).await;
    let failed = received.failed.expect("not refused");
    assert_eq!(
        (failed.ran(), failed.reason()),
        (wire::Ran::No, wire::Reason::Model)
    );
}

#[tokio::test]
async fn orders_run_once_and_in_order_of_fences() {
    let fixture = start_fixture("engine").await;
    let order = |fence| control_wire::Order {
        upstream: "up-1".to_owned(),
        fence,
        models: vec!["transcript".to_owned()],
    };
    fixture
        .control
        .change(|config| config.orders = vec![order(5)]);
    let engine = &fixture.engine;
    support::wait_until("order 5", || engine.inspect(|state| state.orders == [5])).await;
    fixture
        .control
        .change(|config| config.orders = vec![order(4)]);
    fixture
        .control
        .change(|config| config.orders = vec![order(7)]);
    support::wait_until("order 7", || engine.inspect(|state| state.orders.len() > 1)).await;
    assert_eq!(fixture.engine.inspect(|state| state.orders.clone()), [5, 7]);
}

#[tokio::test]
async fn call_returns_the_complete_response() {
    let fixture = start_fixture("service").await;
    let response = run(&fixture, call("c1", None)).await.expect("no answer");
    assert_eq!((response.status, &response.body[..]), (200, &b"lent"[..]));
    assert_eq!(fixture.engine.inspect(|state| state.runs["k1"]), 1);
}

#[tokio::test]
async fn claim_runs_at_most_once_under_one_fence() {
    let fixture = start_fixture("service").await;
    run(&fixture, call("c1", claim(3)))
        .await
        .expect("no answer");
    for (request, fence) in [("c2", 3), ("c3", 2)] {
        let failed = run(&fixture, call(request, claim(fence)))
            .await
            .expect_err("ran again");
        assert_eq!(failed.reason(), wire::Reason::Fenced);
        assert_eq!(failed.ran(), wire::Ran::Unknown);
    }
    let failed = run(&fixture, call("c1", claim(4)))
        .await
        .expect_err("ran again");
    assert_eq!(failed.reason(), wire::Reason::Repeated);
    assert_eq!(fixture.engine.inspect(|state| state.runs["k1"]), 1);
}

#[tokio::test]
async fn call_for_a_previous_incarnation_is_not_run() {
    let fixture = start_fixture("service").await;
    let mut former = call("c1", claim(3));
    former.incarnation = "former".to_owned();
    let failed = run(&fixture, former).await.expect_err("ran");
    assert_eq!(
        (failed.ran(), failed.reason()),
        (wire::Ran::Unknown, wire::Reason::Gone)
    );
    assert_eq!(fixture.engine.inspect(|state| state.runs.len()), 0);
}

#[tokio::test]
async fn call_to_a_dead_service_fails_as_not_run() {
    let mut fixture = start_fixture("service").await;
    fixture.upstream_relay.kill().await;
    let failed = run(&fixture, call("c1", claim(3))).await.expect_err("ran");
    assert_eq!(
        (failed.ran(), failed.reason()),
        (wire::Ran::No, wire::Reason::Upstream)
    );
}

#[tokio::test]
async fn load_stream_reports_running_requests_and_draining() {
    use futures::StreamExt as _;
    let fixture = start_fixture("engine").await;
    let mut client = support::connect(fixture.agent.address).await;
    let seen = futures::stream::pending::<wire::Seen>();
    let mut loads = client.observe(seen).await.unwrap().into_inner();
    let first = loads.next().await.unwrap().unwrap();
    assert!(first.healthy && !first.draining);
    assert_eq!((first.upstream.as_str(), first.running), ("up-1", 0));
    let mut link = support::open(fixture.agent.address, support::start_request("r1", 200)).await;
    let mut received = support::Received::default();
    link.read(&mut received, 3).await;
    let running = async { while loads.next().await.unwrap().unwrap().running != 1 {} };
    tokio::time::timeout(support::TIMEOUT, running)
        .await
        .expect("never reported");
    fixture.agent.terminate();
    let draining = async { while !loads.next().await.unwrap().unwrap().draining {} };
    tokio::time::timeout(support::TIMEOUT, draining)
        .await
        .expect("never reported");
    assert!(fixture.control.saw_leaving());
}
