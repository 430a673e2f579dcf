//! Three heartbeats of a runner in a row are reset on their way, each at another control host.
//!
//! After each of them the runner calls the next node, which acknowledges the heartbeat at once. After
//! three it is back at the host that it came from, and beats on there without a pause.

#[path = "kit.rs"]
mod kit;

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

fn main() {
    let record = kit::Record::create();
    let mut deployment = kit::Deployment::prepare(3, 0, 2);
    deployment.start_all();
    deployment.publish(&record, &state(7, false));
    deployment.wait_ready();
    let hosts: Vec<_> = [1, 2, 0].map(|n| deployment.control_address(n)).to_vec();
    let work = Duration::from_millis(30);
    let desk = kit::Runner::start(&record, 0, "i-desk", "desk", "osu", hosts.clone(), work);
    let shop = kit::Runner::start(&record, 1, "i-shop", "shop", "tema", hosts.clone(), work);
    desk.beat();
    shop.beat();
    kit::sleep_ms(3000);
    // A route to the second service is added.
    deployment.publish(&record, &state(8, true));
    let gateways = vec![deployment.frontend(0), deployment.frontend(1)];
    let first = kit::Consumers::start(&record, gateways.clone(), "/desk/book", "GET", 10, 2500);
    let added = kit::Consumers::start(&record, gateways, "/shop/look", "GET", 10, 2500);
    kit::sleep_ms(5000);
    if kit::has_trouble() {
        shop.beating.store(false, Ordering::SeqCst);
        kit::sleep_ms(50);
        shop.announce("ready");
        for _ in 0..3 {
            std::thread::sleep(kit::HEARTBEAT);
            let host = shop.hosts[shop.host.load(Ordering::SeqCst) as usize % shop.hosts.len()];
            record.say(&format!(
                "the connection of i-shop to {host} is reset; it calls the next node"
            ));
            shop.host.fetch_add(1, Ordering::SeqCst);
            shop.announce("ready");
        }
        std::thread::sleep(kit::HEARTBEAT);
        shop.beating.store(true, Ordering::SeqCst);
        shop.beat();
        record.say("i-shop is back at the first control host and beats on");
    } else {
        kit::sleep_ms(4500);
    }
    // The state is steady again after contactMs; long before, every heartbeat is acknowledged.
    kit::sleep_ms(12_000);
    let from = Instant::now();
    kit::sleep_ms(15_000);
    let to = Instant::now();
    first.stop();
    added.stop();
    kit::sleep_ms(2700);
    let (first, added) = (first.count(from, to), added.count(from, to));
    record.say(&format!("answers on the first route, by status: {first:?}"));
    record.say(&format!(
        "answers on the route that was added later: {added:?}"
    ));
    let share = |counts: &std::collections::HashMap<u16, usize>| {
        let all: usize = counts.values().sum();
        (
            all,
            counts.get(&200).copied().unwrap_or(0) as f64 / all.max(1) as f64,
        )
    };
    let ((_, first), (count, added)) = (share(&first), share(&added));
    let broken = count >= 20 && added < first / 4.0;
    desk.exit();
    shop.exit();
    deployment.finish(&record, broken);
}

fn state(version: u64, has_shop: bool) -> String {
    let text = kit::plain_state(version, "idempotent");
    if !has_shop {
        return text;
    }
    let route = "{\"name\":\"r-shop\",\"host\":\"desk.example\",\"pathPrefix\":\"/shop/\",\
                 \"routeType\":\"idempotent\",\"timeoutMs\":2500,\"latencySloMs\":150,\"priority\":2,\
                 \"service\":\"shop\",\"maxAttempts\":2,\"public\":false,\"sticky\":false,\
                 \"resumable\":false}],\"services\":[{\"name\":\"shop\",\"healthPath\":\"/healthz\",\
                 \"maxConns\":110,\"protocol\":\"h1\",\"tls\":false,\"coldStartS\":0.0,\
                 \"coldPerS\":0.0},";
    text.replace("}],\"services\":[", &format!("}},{route}"))
}
