//! Connections that send no whole request leave descriptors for others.

use std::net;

use crate::crowd::Body;
use crate::crowd::Crowd;
use crate::fleet;
use crate::gateway;
use crate::memory;

/// Limit of the open descriptors of each process.
const LIMIT: u64 = 200;
/// Bound of those that are open beside a crowd: calls, links and files need the others.
const BOUND: usize = 150;
/// Connections of a crowd.
const CLIENTS: usize = 300;

async fn start_fleet() -> fleet::Fleet {
    let plan = fleet::Plan {
        controls: 1,
        descriptors: Some(LIMIT),
        engines: 1,
        entries: 1,
        ..fleet::Plan::default()
    };
    fleet::Fleet::start(plan).await
}

/// Opens connections without a whole request, beside which calls, and those of operators, are
/// answered.
async fn check_fleet(fleet: fleet::Fleet, name: &str, address: net::SocketAddr, body: Body) {
    let crowd = Crowd::start(address, "POST /x", CLIENTS, body).await;
    for _call in 0..2 {
        crate::assert_served(&fleet).await;
        fleet.wait_ready(name).await;
    }
    crate::assert_descriptors(fleet.id(name), BOUND);
    drop(crowd);
}

async fn check_gateway(stack: &gateway::Stack, id: u32, address: net::SocketAddr) {
    let crowd = Crowd::start(address, "POST /x", CLIENTS, Body::HalfHead).await;
    for _call in 0..2 {
        assert_eq!(stack.call(100).await, Some(200));
        assert_eq!(stack.call_platform("GET", "").await, Some(200));
    }
    crate::assert_descriptors(id, BOUND);
    drop(crowd);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn half_heads_of_callers_leave_the_gateway_descriptors() {
    let _one = crate::ONE_AT_A_TIME.lock().await;
    let stack = gateway::Stack::start(Some(LIMIT)).await;
    check_gateway(&stack, stack.gateway.id(), stack.addresses.callers).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn half_heads_at_the_health_port_leave_the_gateway_descriptors() {
    let _one = crate::ONE_AT_A_TIME.lock().await;
    let stack = gateway::Stack::start(Some(LIMIT)).await;
    check_gateway(&stack, stack.gateway.id(), stack.addresses.health).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn half_heads_at_the_platform_port_leave_the_control_host_descriptors() {
    let _one = crate::ONE_AT_A_TIME.lock().await;
    let stack = gateway::Stack::start(Some(LIMIT)).await;
    check_gateway(&stack, stack.control.id(), stack.addresses.platform).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn half_heads_at_the_health_port_leave_the_control_host_descriptors() {
    let _one = crate::ONE_AT_A_TIME.lock().await;
    let fleet = start_fleet().await;
    let address = fleet.health("control-0");
    check_fleet(fleet, "control-0", address, Body::HalfHead).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_connections_of_operators_leave_the_control_host_descriptors() {
    let _one = crate::ONE_AT_A_TIME.lock().await;
    let fleet = start_fleet().await;
    let address = fleet.operators(0);
    check_fleet(fleet, "control-0", address, Body::Preface).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_connections_of_peers_leave_the_control_host_descriptors() {
    let _one = crate::ONE_AT_A_TIME.lock().await;
    let fleet = start_fleet().await;
    let address = fleet.internal("control-0");
    check_fleet(fleet, "control-0", address, Body::Preface).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_connections_of_entries_leave_the_agent_descriptors() {
    let _one = crate::ONE_AT_A_TIME.lock().await;
    let fleet = start_fleet().await;
    let address = fleet.internal("agent-desk-0");
    check_fleet(fleet, "agent-desk-0", address, Body::Preface).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn half_heads_at_the_health_port_leave_the_agent_descriptors() {
    let _one = crate::ONE_AT_A_TIME.lock().await;
    let fleet = start_fleet().await;
    let address = fleet.health("agent-desk-0");
    check_fleet(fleet, "agent-desk-0", address, Body::HalfHead).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn half_heads_of_callers_leave_the_entry_descriptors() {
    let _one = crate::ONE_AT_A_TIME.lock().await;
    let fleet = start_fleet().await;
    let address = fleet.callers(0);
    check_fleet(fleet, "entry-0", address, Body::HalfHead).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn half_heads_at_the_health_port_leave_the_entry_descriptors() {
    let _one = crate::ONE_AT_A_TIME.lock().await;
    let fleet = start_fleet().await;
    let address = fleet.health("entry-0");
    check_fleet(fleet, "entry-0", address, Body::HalfHead).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn documents_that_are_not_read_leave_the_control_host_descriptors() {
    let _one = crate::ONE_AT_A_TIME.lock().await;
    let stack = gateway::Stack::start(Some(LIMIT)).await;
    let platform = stack.addresses.platform;
    let document = memory::build_long_document(100);
    let put = gateway::put_document(platform, "PUT", document).await;
    assert_eq!(put, Some(200));
    let path = "GET /api/config";
    let crowd = Crowd::start(platform, path, CLIENTS, Body::Unread).await;
    for _call in 0..2 {
        assert_eq!(stack.call(100).await, Some(200));
        assert_eq!(stack.call_platform("GET", "").await, Some(200));
    }
    crate::assert_descriptors(stack.control.id(), BOUND);
    drop(crowd);
}
