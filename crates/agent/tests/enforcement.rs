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

struct Rig {
    agent: process::Agent,
    control: control::Control,
    engine: engine::Engine,
    /// Relay between the agent and the upstream.
    back: relay::Relay,
}

async fn build_rig(kind: &str) -> Rig {
    let (control, control_address) = control::Control::start().await;
    let (engine, address) = engine::Engine::start().await;
    let back = relay::Relay::start(address).await;
    let agent = process::Agent::start(kind, control_address, back.address, "").await;
    Rig {
        agent,
        control,
        engine,
        back,
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

async fn run(rig: &Rig, call: wire::CallRequest) -> Result<wire::Response, wire::Failed> {
    let reply = support::connect(rig.agent.address)
        .await
        .call(call)
        .await
        .unwrap();
    match reply.into_inner().kind.unwrap() {
        wire::call_reply::Kind::Response(response) => Ok(response),
        wire::call_reply::Kind::Failed(failed) => Err(failed),
    }
}

async fn try_start(rig: &Rig, request: &str) -> Option<wire::Failed> {
    let mut link = support::open(rig.agent.address, support::start(request, 3)).await;
    let mut heard = support::Heard::default();
    link.read_all(&mut heard).await;
    heard.failed
}

#[tokio::test]
async fn domain_out_refuses_within_two_seconds_and_running_work_goes_on() {
    let rig = build_rig("engine").await;
    let mut running = support::open(rig.agent.address, support::start("r0", 150)).await;
    let mut heard = support::Heard::default();
    running.read(&mut heard, 5).await;
    let begun = tokio::time::Instant::now();
    rig.control
        .change(|config| config.domains_out.push("a".to_owned()));
    rig.agent.wait_ready(false).await;
    assert!(begun.elapsed() < time::Duration::from_secs(2));
    let failed = try_start(&rig, "r1").await.expect("not refused");
    assert_eq!(
        (failed.ran(), failed.reason()),
        (wire::Ran::No, wire::Reason::Draining)
    );
    assert!(failed.retry_after_ms > 0);
    running.read_all(&mut heard).await;
    assert_eq!(heard.text, support::whole_text(150));
    rig.control.change(|config| config.domains_out.clear());
    rig.agent.wait_ready(true).await;
    assert_eq!(try_start(&rig, "r2").await, None);
    let (_, metrics) = rig.agent.read("/metrics").await.unwrap();
    let mut lines = metrics.lines();
    let signs = lines.find(|line| line.starts_with("peargap_agent_cold_signs_total{"));
    assert!(signs.is_some_and(|line| line.ends_with(" 1")), "{signs:?}");
}

#[tokio::test]
async fn lapsed_lease_refuses_as_stale() {
    let rig = build_rig("engine").await;
    rig.control.set_grants(false);
    rig.agent.wait_ready(false).await;
    let failed = try_start(&rig, "r1").await.expect("not refused");
    assert_eq!(
        (failed.ran(), failed.reason()),
        (wire::Ran::No, wire::Reason::Stale)
    );
    assert_eq!(rig.engine.look(|state| state.starts), 0);
    rig.control.set_grants(true);
    rig.agent.wait_ready(true).await;
    assert_eq!(try_start(&rig, "r1").await, None);
}

#[tokio::test]
async fn unknown_model_is_refused() {
    let rig = build_rig("engine").await;
    let wire::up::Kind::Start(mut start) = support::start("r1", 3) else {
        unreachable!("a start");
    };
    start.model = "other".to_owned();
    let mut link = support::open(rig.agent.address, wire::up::Kind::Start(start)).await;
    let mut heard = support::Heard::default();
    link.read_all(&mut heard).await;
    let failed = heard.failed.expect("not refused");
    assert_eq!(
        (failed.ran(), failed.reason()),
        (wire::Ran::No, wire::Reason::Model)
    );
}

#[tokio::test]
async fn orders_are_carried_out_once_and_by_growing_fences() {
    let rig = build_rig("engine").await;
    let order = |fence| control_wire::Order {
        upstream: "up-1".to_owned(),
        fence,
        models: vec!["transcript".to_owned()],
    };
    rig.control.change(|config| config.orders = vec![order(5)]);
    let engine = &rig.engine;
    support::wait_until("order 5", || engine.look(|state| state.orders == [5])).await;
    rig.control.change(|config| config.orders = vec![order(4)]);
    rig.control.change(|config| config.orders = vec![order(7)]);
    support::wait_until("order 7", || engine.look(|state| state.orders.len() > 1)).await;
    assert_eq!(rig.engine.look(|state| state.orders.clone()), [5, 7]);
}

#[tokio::test]
async fn call_is_answered_whole() {
    let rig = build_rig("service").await;
    let response = run(&rig, call("c1", None)).await.expect("no answer");
    assert_eq!((response.status, &response.body[..]), (200, &b"lent"[..]));
    assert_eq!(rig.engine.look(|state| state.runs["k1"]), 1);
}

#[tokio::test]
async fn claim_runs_at_most_once_under_one_fence() {
    let rig = build_rig("service").await;
    run(&rig, call("c1", claim(3))).await.expect("no answer");
    for (request, fence) in [("c2", 3), ("c3", 2)] {
        let failed = run(&rig, call(request, claim(fence)))
            .await
            .expect_err("ran again");
        assert_eq!(failed.reason(), wire::Reason::Fenced);
        assert_eq!(failed.ran(), wire::Ran::Unknown);
    }
    let failed = run(&rig, call("c1", claim(4)))
        .await
        .expect_err("ran again");
    assert_eq!(failed.reason(), wire::Reason::Repeated);
    assert_eq!(rig.engine.look(|state| state.runs["k1"]), 1);
}

#[tokio::test]
async fn call_meant_for_a_former_agent_is_not_run() {
    let rig = build_rig("service").await;
    let mut former = call("c1", claim(3));
    former.incarnation = "former".to_owned();
    let failed = run(&rig, former).await.expect_err("ran");
    assert_eq!(
        (failed.ran(), failed.reason()),
        (wire::Ran::Unknown, wire::Reason::Gone)
    );
    assert_eq!(rig.engine.look(|state| state.runs.len()), 0);
}

#[tokio::test]
async fn call_to_a_dead_service_is_told_not_run() {
    let mut rig = build_rig("service").await;
    rig.back.kill().await;
    let failed = run(&rig, call("c1", claim(3))).await.expect_err("ran");
    assert_eq!(
        (failed.ran(), failed.reason()),
        (wire::Ran::No, wire::Reason::Upstream)
    );
}

#[tokio::test]
async fn load_link_reports_what_runs() {
    use futures::StreamExt as _;
    let rig = build_rig("engine").await;
    let mut client = support::connect(rig.agent.address).await;
    let seen = futures::stream::pending::<wire::Seen>();
    let mut loads = client.observe(seen).await.unwrap().into_inner();
    let first = loads.next().await.unwrap().unwrap();
    assert!(first.healthy && !first.draining);
    assert_eq!((first.upstream.as_str(), first.running), ("up-1", 0));
    let mut link = support::open(rig.agent.address, support::start("r1", 200)).await;
    let mut heard = support::Heard::default();
    link.read(&mut heard, 3).await;
    let running = async { while loads.next().await.unwrap().unwrap().running != 1 {} };
    tokio::time::timeout(support::PATIENCE, running)
        .await
        .expect("never reported");
    rig.agent.terminate();
    let draining = async { while !loads.next().await.unwrap().unwrap().draining {} };
    tokio::time::timeout(support::PATIENCE, draining)
        .await
        .expect("never reported");
    assert!(rig.control.saw_leaving());
}
