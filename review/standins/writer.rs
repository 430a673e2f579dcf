//! A heartbeat from another writer, with fields missing, names a runner that exists.
//!
//! It bears the id, the address and the start of a runner of one service, names another service, and
//! lacks `slots`, `coldLeftMs` and `version`. It is sent once. Such a heartbeat names no runner to use;
//! what is known of the runner holds.

#[path = "kit.rs"]
mod kit;

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

fn main() {
    let record = kit::Record::create();
    let mut deployment = kit::Deployment::prepare(3, 0, 2);
    deployment.start_all();
    deployment.publish(&record, &state());
    deployment.wait_ready();
    let hosts: Vec<_> = (0..3).map(|n| deployment.control_address(n)).collect();
    let work = Duration::from_millis(30);
    let desk = kit::Runner::start(&record, 0, "i-desk", "desk", "osu", hosts.clone(), work);
    let shop = kit::Runner::start(&record, 1, "i-shop", "shop", "tema", hosts.clone(), work);
    desk.beat();
    shop.beat();
    kit::sleep_ms(3000);
    // All requests are on the route to `desk`; nobody sends any to `shop`.
    let gateways = vec![deployment.frontend(0), deployment.frontend(1)];
    let consumers = kit::Consumers::start(&record, gateways, "/desk/book", "POST", 30, 2500);
    kit::sleep_ms(5000);
    record.say(&format!(
        "before: {} runs at i-desk, {} at i-shop",
        desk.count(),
        shop.count()
    ));
    if desk.count() == 0 || shop.count() > 0 {
        deployment.give_up("the requests don't go where they should");
    }
    if kit::has_trouble() {
        let sequence = shop.sequence.load(Ordering::SeqCst) + 1;
        let body = format!(
            "{{\"service\":\"desk\",\"address\":\"{}\",\"zone\":\"tema\",\"state\":\"ready\",\
             \"sequence\":{sequence},\"born\":{}}}",
            shop.address, shop.born
        );
        let json = [("Content-Type", "application/json")];
        let path = "/api/instances/i-shop";
        let reply = kit::call(
            hosts[0],
            "PUT",
            path,
            &json,
            body.as_bytes(),
            kit::CALL_TIMEOUT,
        );
        let status = reply.map_or(0, |reply| reply.status);
        record.say(&format!("another writer sends {body}: {status}"));
    }
    let sent = Instant::now();
    kit::sleep_ms(8000);
    consumers.stop();
    kit::sleep_ms(2700);
    let wrong = shop.arrivals_after(sent);
    let last = wrong
        .last()
        .map_or(0, |arrival| record.at(arrival.at) - record.at(sent));
    record.say(&format!(
        "requests for desk that i-shop, a runner of shop, ran: {} (the last {last} ms after the heartbeat)",
        wrong.len()
    ));
    desk.exit();
    shop.exit();
    deployment.finish(&record, !wrong.is_empty());
}

fn state() -> String {
    let text = kit::plain_state(7, "non_idempotent");
    let shop = "}],\"services\":[{\"name\":\"shop\",\"healthPath\":\"/healthz\",\"maxConns\":110,\
                \"protocol\":\"h1\",\"tls\":false,\"coldStartS\":0.0,\"coldPerS\":0.0},";
    let route = ",{\"name\":\"r-shop\",\"host\":\"desk.example\",\"pathPrefix\":\"/shop/\",\
                 \"routeType\":\"idempotent\",\"timeoutMs\":2500,\"latencySloMs\":150,\"priority\":2,\
                 \"service\":\"shop\",\"maxAttempts\":2,\"public\":false,\"sticky\":false,\
                 \"resumable\":false";
    text.replace("}],\"services\":[", &format!("}}{route}{shop}"))
}
