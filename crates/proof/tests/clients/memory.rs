//! Crowds that send much stay within the memory of the host.

use std::time;

use crate::crowd::Body;
use crate::crowd::Crowd;
use crate::fleet;
use crate::gateway;

/// Clients of a crowd.
const CLIENTS: usize = 100;
/// Memory of the gateway's host, in bytes.
const GATEWAY_BYTES: u64 = gateway::HOST_MB * 1_000_000;
/// Memory of a host unless its settings tell of another, in bytes.
const HOST_BYTES: u64 = 256_000_000;
/// Bytes of a large and of a very small chunk.
const LARGE_CHUNK: usize = 65_000;
const SMALL_CHUNK: usize = 16;
/// Just short of the largest body at the gateway, and at an entry.
const NEARLY_2_MB: usize = gateway::BODY_BYTES - 10_000;
const NEARLY_4_MB: usize = (4 << 20) - 100_000;

/// Sends a crowd to the gateway, which answers an ordinary request beside it and a whole body
/// afterwards.
async fn check_gateway(stack: gateway::Stack, path: &str, body: Body) {
    let callers = stack.addresses.callers;
    check_gateway_at(stack, callers, path, body).await;
}

async fn check_gateway_at(
    stack: gateway::Stack,
    address: std::net::SocketAddr,
    path: &str,
    body: Body,
) {
    let crowd = Crowd::start(address, path, CLIENTS, body).await;
    crate::settle(stack.gateway.id()).await;
    assert_eq!(stack.call(100).await, Some(200));
    drop(crowd);
    crate::assert_memory(stack.gateway.id(), GATEWAY_BYTES);
    assert_eq!(stack.call(gateway::BODY_BYTES - 1000).await, Some(200));
    crate::assert_memory(stack.gateway.id(), GATEWAY_BYTES);
}

/// Sends a crowd to the control host's platform API, which answers a read beside it and afterwards.
async fn check_platform(path: &str, clients: usize, body: Body) {
    let stack = gateway::Stack::start(None).await;
    let crowd = Crowd::start(stack.addresses.platform, path, clients, body).await;
    crate::settle(stack.control.id()).await;
    assert_eq!(stack.call_platform("GET", "").await, Some(200));
    drop(crowd);
    assert_eq!(stack.call_platform("GET", "").await, Some(200));
    crate::assert_memory(stack.control.id(), HOST_BYTES);
}

/// Starts one process of each kind, which don't authenticate to each other.
async fn start_fleet() -> fleet::Fleet {
    let plan = fleet::Plan {
        controls: 1,
        engines: 1,
        entries: 1,
        has_key: false,
        ..fleet::Plan::default()
    };
    fleet::Fleet::start(plan).await
}

/// Checks that calls are answered and that a process is within its host's memory.
async fn check_fleet(fleet: &fleet::Fleet, name: &str) {
    crate::assert_served(fleet).await;
    crate::assert_memory(fleet.id(name), HOST_BYTES);
}

async fn check_entry(body: Body) {
    let fleet = start_fleet().await;
    let address = fleet.callers(0);
    let crowd = Crowd::start(address, "POST /services/lookups/x", CLIENTS, body).await;
    crate::settle(fleet.id("entry-0")).await;
    check_fleet(&fleet, "entry-0").await;
    drop(crowd);
    check_fleet(&fleet, "entry-0").await;
}

/// Sends messages that do not end to a process's port.
async fn check_messages(
    fleet: fleet::Fleet,
    name: &str,
    address: std::net::SocketAddr,
    path: &str,
    crowd: (usize, usize),
    bytes: usize,
) {
    let crowd = Crowd::start_http2(address, path, crowd, bytes).await;
    crate::settle(fleet.id(name)).await;
    check_fleet(&fleet, name).await;
    drop(crowd);
    check_fleet(&fleet, name).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_chunks_that_stop_short_stay_within_the_gateways_host() {
    let _one = crate::ONE_AT_A_TIME.lock().await;
    let stack = gateway::Stack::start(None).await;
    let body = Body::Chunked {
        chunk: LARGE_CHUNK,
        sent: NEARLY_2_MB,
    };
    check_gateway(stack, "POST /r/x", body).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn small_chunks_that_stop_short_stay_within_the_gateways_host() {
    let _one = crate::ONE_AT_A_TIME.lock().await;
    let stack = gateway::Stack::start(None).await;
    let body = Body::Chunked {
        chunk: SMALL_CHUNK,
        sent: 1_000_000,
    };
    check_gateway(stack, "POST /r/x", body).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn announced_bodies_that_stop_short_stay_within_the_gateways_host() {
    let _one = crate::ONE_AT_A_TIME.lock().await;
    let stack = gateway::Stack::start(None).await;
    let body = Body::Announced {
        announced: gateway::BODY_BYTES,
        sent: NEARLY_2_MB,
    };
    check_gateway(stack, "POST /r/x", body).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn whole_bodies_for_one_upstream_stay_within_the_gateways_host() {
    let _one = crate::ONE_AT_A_TIME.lock().await;
    let stack = gateway::Stack::start(None).await;
    stack
        .upstream
        .set_answer_delay(time::Duration::from_secs(3));
    let body = Body::Announced {
        announced: NEARLY_2_MB,
        sent: NEARLY_2_MB,
    };
    check_gateway(stack, "POST /r/x", body).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn chunked_bodies_over_the_limit_stay_within_the_gateways_host() {
    let _one = crate::ONE_AT_A_TIME.lock().await;
    let stack = gateway::Stack::start(None).await;
    let body = Body::Chunked {
        chunk: LARGE_CHUNK,
        sent: 8_000_000,
    };
    check_gateway(stack, "POST /r/x", body).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn announced_bodies_over_the_limit_stay_within_the_gateways_host() {
    let _one = crate::ONE_AT_A_TIME.lock().await;
    let stack = gateway::Stack::start(None).await;
    let body = Body::Announced {
        announced: 1_000_000_000,
        sent: 8_000_000,
    };
    check_gateway(stack, "POST /r/x", body).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn questions_that_stop_short_stay_within_the_gateways_host() {
    let _one = crate::ONE_AT_A_TIME.lock().await;
    let stack = gateway::Stack::start(None).await;
    let health = stack.addresses.health;
    let body = Body::Chunked {
        chunk: LARGE_CHUNK,
        sent: NEARLY_2_MB,
    };
    check_gateway_at(stack, health, "POST /explain/r/x", body).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn heartbeats_in_large_chunks_stay_within_the_control_host() {
    let _one = crate::ONE_AT_A_TIME.lock().await;
    let body = Body::Chunked {
        chunk: LARGE_CHUNK,
        sent: NEARLY_2_MB,
    };
    check_platform("PUT /api/instances/x", 2 * CLIENTS, body).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn read_buffers_of_many_callers_stay_within_the_control_host() {
    let _one = crate::ONE_AT_A_TIME.lock().await;
    let body = Body::Chunked {
        chunk: 500_000,
        sent: 1_000_000,
    };
    check_platform("PUT /api/instances/x", 8 * CLIENTS, body).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn documents_in_small_chunks_stay_within_the_control_host() {
    let _one = crate::ONE_AT_A_TIME.lock().await;
    let body = Body::Chunked {
        chunk: SMALL_CHUNK,
        sent: 1_000_000,
    };
    check_platform("PUT /api/config", CLIENTS, body).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn orders_of_operators_that_stop_short_stay_within_the_control_host() {
    let _one = crate::ONE_AT_A_TIME.lock().await;
    let fleet = start_fleet().await;
    let address = fleet.operators(0);
    let path = "/peargap.operator.Operator/Submit";
    check_messages(fleet, "control-0", address, path, (5, 20), 4 << 20).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn messages_of_peers_that_stop_short_stay_within_the_control_host() {
    let _one = crate::ONE_AT_A_TIME.lock().await;
    let fleet = start_fleet().await;
    let address = fleet.internal("control-0");
    let path = "/peargap.peer.Peer/Deliver";
    check_messages(fleet, "control-0", address, path, (5, 10), 8 << 20).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_that_stop_short_stay_within_the_agents_host() {
    let _one = crate::ONE_AT_A_TIME.lock().await;
    let fleet = start_fleet().await;
    let address = fleet.internal("agent-desk-0");
    let path = "/peargap.agent.Agent/Call";
    check_messages(fleet, "agent-desk-0", address, path, (5, 10), 8 << 20).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_chunks_that_stop_short_stay_within_the_entrys_host() {
    let _one = crate::ONE_AT_A_TIME.lock().await;
    check_entry(Body::Chunked {
        chunk: LARGE_CHUNK,
        sent: NEARLY_4_MB,
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn small_chunks_that_stop_short_stay_within_the_entrys_host() {
    let _one = crate::ONE_AT_A_TIME.lock().await;
    check_entry(Body::Chunked {
        chunk: SMALL_CHUNK,
        sent: 1_000_000,
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn announced_bodies_that_stop_short_stay_within_the_entrys_host() {
    let _one = crate::ONE_AT_A_TIME.lock().await;
    check_entry(Body::Announced {
        announced: 4 << 20,
        sent: NEARLY_4_MB,
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_over_http2_that_stop_short_stay_within_the_entrys_host() {
    let _one = crate::ONE_AT_A_TIME.lock().await;
    let fleet = start_fleet().await;
    let address = fleet.callers(0);
    let path = "/services/lookups/x";
    check_messages(fleet, "entry-0", address, path, (2, 50), 4_000_000).await;
}

/// Returns a valid document of nearly 2 MB.
pub(crate) fn build_long_document(version: usize) -> bytes::Bytes {
    let mut text = format!(
        r#"{{"version":{version},"services":[{{"name":"s"}}],"routes":[
        {{"name":"r","host":"h","pathPrefix":"/r/","routeType":"idempotent","timeoutMs":9000,"service":"s"}}"#
    );
    for route in 0.. {
        text += &format!(
            r#",{{"name":"r{route}","host":"h","pathPrefix":"/v{version}/{route}/","routeType":"idempotent",
            "timeoutMs":9000,"service":"s"}}"#
        );
        if text.len() > NEARLY_2_MB {
            break;
        }
    }
    text += "]}";
    bytes::Bytes::from(text)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn whole_documents_at_once_stay_within_the_control_host() {
    let _one = crate::ONE_AT_A_TIME.lock().await;
    let stack = gateway::Stack::start(None).await;
    let platform = stack.addresses.platform;
    let mut puts = Vec::new();
    for version in 0..CLIENTS / 2 {
        let document = build_long_document(100 + version);
        puts.push(tokio::spawn(gateway::put_document(
            platform, "PUT", document,
        )));
    }
    let mut answered = Vec::new();
    for put in puts {
        answered.push(put.await.expect("a client"));
    }
    println!("{answered:?}");
    assert_eq!(stack.call_platform("GET", "").await, Some(200));
    assert_eq!(stack.call(100).await, Some(200));
    crate::assert_memory(stack.control.id(), HOST_BYTES);
}
