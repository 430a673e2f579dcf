//! A runner fails part of its requests with a 500 whose body does not end. Do their callers get an answer?

use std::thread::{self, sleep};
use std::time::Duration;

use crate::caller;
use crate::deploy::Deployment;
use crate::engine::{Faults, Group, Runner, Traits};
use crate::{Setting, Verdict};

const RUNNERS: u8 = 8;
const REQUESTS: usize = 320;
/// Requests before the runner begins to fail some.
const SOUND_REQUESTS: usize = 120;
const REQUEST_GAP: Duration = Duration::from_millis(32);
/// Events of a request, and the time between them in milliseconds.
const EVENTS: (u64, u64) = (30, 40);
/// The route's timeout.
const TIMEOUT: Duration = Duration::from_millis(2000);
/// Time after the timeout in which an answer has to come.
const SLACK: Duration = Duration::from_millis(500);
/// How long callers wait.
const CALLERS_LIMIT: Duration = Duration::from_millis(6000);
/// Requests that have to be late before the case counts.
const LEAST: usize = 4;

pub fn run(setting: &Setting<'_>) -> Verdict {
    let record = setting.record;
    let document = caller::document(7, TIMEOUT.as_millis() as u64);
    let Some(deployment) = Deployment::start(setting.folder, 1, &document, record) else {
        return Verdict::NotRun("the deployment did not start".to_owned());
    };
    let group = Group::new(record);
    let mut runners = Vec::new();
    for number in 1..=RUNNERS {
        let started = group.start(
            &format!("i-runner{number}"),
            "huvo11a",
            &format!("z{}", 1 + number % 3),
            deployment.runner_address(number),
            Traits::default(),
            &deployment.control,
        );
        let Ok(runner) = started else {
            return Verdict::NotRun("a runner did not start".to_owned());
        };
        runners.push(runner);
    }
    sleep(Duration::from_secs(4));
    let gateway = deployment.gateways[0];
    let mut callers = Vec::new();
    for number in 0..REQUESTS {
        if setting.trouble && number == SOUND_REQUESTS {
            let runs = group.runs();
            let count = |runner: &&Runner| runs.iter().filter(|run| run.runner == runner.name()).count();
            let Some(runner) = runners.iter().max_by_key(count) else {
                return Verdict::NotRun("no runner".to_owned());
            };
            record.line(format!("{} begins to fail requests", runner.name()));
            runner.set_faults(Faults { stalls: true, ..Faults::default() });
        }
        let record = record.clone();
        callers.push(thread::spawn(move || {
            let attempt = caller::new_attempt();
            caller::generate(gateway, &attempt, EVENTS.0, EVENTS.1, CALLERS_LIMIT, &record)
        }));
        sleep(REQUEST_GAP);
    }
    let ends: Vec<_> = callers.into_iter().filter_map(|caller| caller.join().ok()).collect();
    let answered = ends.iter().filter(|end| end.is_whole && end.status == 200).count();
    let unanswered = ends.iter().filter(|end| end.took > TIMEOUT && !(end.is_whole && end.took <= TIMEOUT));
    let unanswered: Vec<_> = unanswered.collect();
    let late = unanswered.iter().filter(|end| !end.is_whole && end.took > TIMEOUT + SLACK).count();
    let text = format!(
        "of {} requests {answered} were answered with 200; {} were unanswered at the route's timeout of {} ms, {late} of \
         them also {} ms later",
        ends.len(),
        unanswered.len(),
        TIMEOUT.as_millis(),
        SLACK.as_millis()
    );
    match late >= LEAST && 2 * late > unanswered.len() {
        true => Verdict::Broken(text),
        false => Verdict::Held(text),
    }
}
