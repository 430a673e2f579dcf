//! A runner leaves while the control host that it has been calling is down.
//!
//! The runner never reports `draining`: it sends DELETE first and serves on for a while, as some
//! runners do. Its control host, a machine without a disk, is killed just before, so the call goes
//! to the next control host, which acknowledges it.

#[path = "kit.rs"]
mod kit;

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

fn main() {
    let record = kit::Record::create();
    // Three control hosts with a disk are the core; the fourth has none.
    let mut deployment = kit::Deployment::prepare(3, 1, 2);
    deployment.start_all();
    deployment.publish(&record, &kit::plain_state(7, "non_idempotent"));
    deployment.wait_ready();
    let hosts = |order: [usize; 4]| order.map(|n| deployment.control_address(n)).to_vec();
    let work = Duration::from_millis(30);
    let staying = kit::Runner::start(
        &record,
        0,
        "i-staying",
        "desk",
        "osu",
        hosts([0, 1, 2, 3]),
        work,
    );
    let leaving = kit::Runner::start(
        &record,
        1,
        "i-leaving",
        "desk",
        "tema",
        hosts([3, 1, 2, 0]),
        work,
    );
    staying.beat();
    leaving.beat();
    let gateways = vec![deployment.frontend(0), deployment.frontend(1)];
    let consumers = kit::Consumers::start(&record, gateways, "/desk/book", "POST", 30, 2500);
    kit::sleep_ms(8000);
    if leaving.count() == 0 || staying.count() == 0 {
        deployment.give_up("a runner gets no requests");
    }
    record.say(&format!(
        "before: {} runs at i-leaving, {} at i-staying",
        leaving.count(),
        staying.count()
    ));
    if kit::has_trouble() {
        record.say("SIGKILL to the control host without a disk");
        deployment.controls[3].kill();
    }
    // The platform starts the process again after a short delay.
    let restart_at = Instant::now() + Duration::from_millis(3500);
    kit::sleep_ms(300);
    leaving.beating.store(false, Ordering::SeqCst);
    let Some(host) = leaving.leave() else {
        deployment.give_up("no control host acknowledged the leave");
    };
    let acked = Instant::now();
    record.say(&format!("DELETE of i-leaving acknowledged by {host}"));
    // It serves for drainMs and a little longer.
    let ends = acked + Duration::from_millis(kit::DRAIN_MS + 4000);
    let mut is_restarted = !kit::has_trouble();
    while Instant::now() < ends {
        kit::sleep_ms(50);
        if !is_restarted && Instant::now() > restart_at {
            is_restarted = true;
            record.say("the control host is started again");
            deployment.controls[3].start();
        }
    }
    leaving.exit();
    let ended = Instant::now();
    record.say("i-leaving exits");
    kit::sleep_ms(2000);
    consumers.stop();
    kit::sleep_ms(2700);
    let limit = acked + Duration::from_millis(kit::DRAIN_MS);
    let late = leaving.arrivals_after(limit);
    let last = late
        .last()
        .map_or(0, |arrival| record.at(arrival.at) - record.at(acked));
    record.say(&format!(
        "requests that reached i-leaving later than {} ms after the ack: {} (the last {last} ms after it)",
        kit::DRAIN_MS,
        late.len()
    ));
    let around = consumers.count(
        ended - Duration::from_millis(100),
        ended + Duration::from_millis(1500),
    );
    record.say(&format!(
        "answers to requests sent around its exit, by status: {around:?}"
    ));
    deployment.finish(&record, !late.is_empty());
}
