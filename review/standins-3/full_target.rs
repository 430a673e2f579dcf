//! Streams run at a runner that leaves, and the others have no free slot for a while. Are they lost?

use std::net::SocketAddr;
use std::thread::{self, sleep};
use std::time::Duration;

use crate::caller;
use crate::deploy::Deployment;
use crate::engine::{Group, Runner, Traits};
use crate::http;
use crate::record::Record;
use crate::{Setting, Verdict};

const RUNNERS: u8 = 8;
/// Streams through the gateway at the time of the change.
const STREAMS: usize = 24;
/// Their events, and the time between these in milliseconds.
const EVENTS: (u64, u64) = (140, 50);
/// The same for what other callers have running at the runners without a free slot.
const OTHERS: (u64, u64) = (160, 50);
const LIMIT: Duration = Duration::from_secs(39);

fn start_streams(
    gateway: SocketAddr,
    count: usize,
    events: (u64, u64),
    record: &Record,
) -> Vec<(String, thread::JoinHandle<caller::End>)> {
    let start = |_| {
        let (attempt, record) = (caller::new_attempt(), record.clone());
        let sent = attempt.clone();
        let call = move || caller::generate(gateway, &sent, events.0, events.1, LIMIT, &record);
        (attempt, thread::spawn(call))
    };
    (0..count).map(start).collect()
}

pub fn run(setting: &Setting<'_>) -> Verdict {
    let record = setting.record;
    let first = caller::document(7, 39_000);
    let Some(deployment) = Deployment::start(setting.folder, 1, &first, record) else {
        return Verdict::NotRun("the deployment did not start".to_owned());
    };
    let group = Group::new(record);
    let mut runners: Vec<Runner> = Vec::new();
    for number in 1..=RUNNERS {
        let started = group.start(
            &format!("i-runner{number}"),
            "huvo11a",
            &format!("z{}", 1 + number % 3),
            deployment.runner_address(number),
            Traits::default(),
            &deployment.control,
        );
        runners.extend(started.ok());
    }
    sleep(Duration::from_secs(4));
    let gateway = deployment.gateways[0];
    // Other times: nothing is cut.
    let calm = start_streams(gateway, STREAMS, (20, 50), record);
    let calm: Vec<_> = calm.into_iter().filter_map(|(_, call)| call.join().ok()).collect();
    let cut_before = calm.iter().filter(|end| !end.is_whole).count();
    let streams = start_streams(gateway, STREAMS, EVENTS, record);
    sleep(Duration::from_millis(700));
    let at = |runner: &Runner| {
        let is_there = |(attempt, _): &&(String, _)| group.holder(attempt).as_deref() == Some(runner.name());
        streams.iter().filter(is_there).map(|(attempt, _)| attempt.clone()).collect::<Vec<_>>()
    };
    let Some(leaving) = runners.iter().max_by_key(|runner| at(runner).len()) else {
        return Verdict::NotRun("no runner started".to_owned());
    };
    let moving = at(leaving);
    // Other callers of the other runners take the rest of their slots.
    let mut others = Vec::new();
    for full in runners.iter().filter(|runner| runner.name() != leaving.name()) {
        let count = Traits::default().slots.saturating_sub(full.running());
        record.line(format!("{count} requests of other callers go straight to {}", full.name()));
        others.extend(full.occupy(count, OTHERS));
    }
    sleep(Duration::from_millis(300));
    let next = caller::document(8, 39_000);
    let sent = http::call(deployment.control[0], "PUT", "/api/config", &next, Duration::from_secs(2));
    record.line(format!("desired state 8 sent: {:?}", sent.as_ref().map(|(status, _)| *status).ok()));
    if !matches!(sent, Ok((200, _))) {
        return Verdict::NotRun("the change was not acknowledged".to_owned());
    }
    if setting.trouble && !leaving.drain(&deployment.control) {
        return Verdict::NotRun("no control host acknowledged that the runner leaves".to_owned());
    }
    let ends: Vec<_> = streams.into_iter().filter_map(|(_, call)| call.join().ok()).collect();
    let mine = ends.iter().filter(|end| moving.contains(&end.attempt));
    let cut = mine.clone().filter(|end| !end.is_whole).count();
    let text = format!(
        "of {} streams at {} when it reported that it leaves, {cut} were cut within 3 s of the ack of a change; of {} \
         at other times {cut_before} were cut",
        mine.count(),
        leaving.name(),
        calm.len()
    );
    match cut > 0 && cut > 3 * cut_before {
        true => Verdict::Broken(text),
        false => Verdict::Held(text),
    }
}
