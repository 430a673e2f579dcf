//! A zone is emptied, taken back and emptied again, while one control host is cut off from the others.
//!
//! The order that takes the zone back is sent to the host that is cut off, gets no response within a
//! second, and is sent to another host, which acknowledges it. The zone is then emptied again, which
//! is acknowledged too. When the cut heals, the first copy of the older order must not take effect.

#[path = "kit.rs"]
mod kit;

use std::time::{Duration, Instant};

/// Control host that is cut off.
const CUT: usize = 2;

fn main() {
    let record = kit::Record::create();
    let mut deployment = kit::Deployment::prepare(3, 0, 2);
    let ports = deployment.ports;
    // The host that is cut off reaches the others, and they reach it, through proxies.
    let ips: Vec<String> = (0..3).map(kit::control_ip).collect();
    let behind = kit::find_port(&ips, ports.operators + 1);
    let settings = deployment.control_settings(CUT, true, behind);
    deployment.rewrite_control(CUT, &settings);
    let mut links = Vec::new();
    for number in 0..CUT {
        let ip = kit::control_ip(number);
        let (from, to) = (kit::address(&ip, behind), kit::address(&ip, ports.internal));
        links.push(kit::Link::start(from, to));
    }
    let ip = kit::control_ip(CUT);
    let (from, to) = (kit::address(&ip, ports.internal), kit::address(&ip, behind));
    links.push(kit::Link::start(from, to));

    deployment.start_all();
    deployment.publish(&record, &kit::plain_state(7, "idempotent"));
    deployment.wait_ready();
    let hosts: Vec<_> = (0..2).map(|n| deployment.control_address(n)).collect();
    let work = Duration::from_millis(30);
    let osu = kit::Runner::start(&record, 0, "i-osu", "desk", "osu", hosts.clone(), work);
    let tema = kit::Runner::start(&record, 1, "i-tema", "desk", "tema", hosts.clone(), work);
    osu.beat();
    tema.beat();
    let gateways = vec![deployment.frontend(0), deployment.frontend(1)];
    let consumers = kit::Consumers::start(&record, gateways, "/desk/look", "GET", 20, 2500);
    kit::sleep_ms(5000);
    let other = deployment.control_address(0);
    let cut_off = deployment.control_address(CUT);
    // The operator also reads the desired state now and then, at any host.
    read_state(&deployment, &record);
    order(&deployment, &record, "POST", &[other]);
    kit::sleep_ms(6000);
    read_state(&deployment, &record);
    if kit::has_trouble() {
        record.say("the control host is cut off from the others");
        links.iter().for_each(kit::Link::cut);
    }
    kit::sleep_ms(200);
    order(&deployment, &record, "DELETE", &[cut_off, other]);
    kit::sleep_ms(1000);
    order(&deployment, &record, "POST", &[other]);
    let acked = Instant::now();
    kit::sleep_ms(1500);
    if kit::has_trouble() {
        record.say("the cut heals");
        links.iter().for_each(kit::Link::heal);
    }
    let bound = Duration::from_millis(kit::EVACUATE_MS + 5000);
    while acked.elapsed() < bound + Duration::from_millis(5000) {
        kit::sleep_ms(50);
    }
    let late = tema.arrivals_after(acked + bound);
    record.say(&format!(
        "requests that reached the zone later than {} ms after its evacuation was acknowledged: {}",
        bound.as_millis(),
        late.len()
    ));
    consumers.stop();
    osu.exit();
    tema.exit();
    deployment.finish(&record, !late.is_empty());
}

fn read_state(deployment: &kit::Deployment, record: &kit::Record) {
    for number in 0..3 {
        let to = deployment.control_address(number);
        let reply = kit::call(to, "GET", "/api/config", &[], b"", kit::CALL_TIMEOUT);
        let status = reply.map_or(0, |reply| reply.status);
        record.line(&format!("operator: GET /api/config at {to}: {status}"));
    }
}

/// Sends an order to one host after another until one acknowledges it.
fn order(
    deployment: &kit::Deployment,
    record: &kit::Record,
    method: &str,
    hosts: &[std::net::SocketAddr],
) {
    for to in hosts {
        let reply = kit::call(
            *to,
            method,
            "/api/evacuations/tema",
            &[],
            b"",
            kit::CALL_TIMEOUT,
        );
        match reply {
            Ok(reply) if reply.status / 100 == 2 => {
                record.say(&format!(
                    "operator: {method} evacuation of tema acknowledged by {to}"
                ));
                return;
            }
            Ok(reply) => record.say(&format!("operator: {method} at {to}: {}", reply.status)),
            Err(error) => record.say(&format!("operator: {method} at {to}: no answer ({error})")),
        }
    }
    deployment.give_up("an order was not acknowledged");
}
