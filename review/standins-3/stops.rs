//! A generation moves away from a runner that leaves. Does the run that it had there end?

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::caller;
use crate::deploy::Deployment;
use crate::engine::{Faults, Group, Runner, Traits};
use crate::{Setting, Verdict};

/// Longest time for which the runner before may still work on a request that goes on elsewhere.
const BOUND_MS: u64 = 400;
/// Time for which the runs are watched after the move.
const WATCHED: Duration = Duration::from_secs(3);
/// Requests at once before the long one; each leaves an idle connection to its runner.
const SHORT_REQUESTS: usize = 96;
const RUNNERS: u8 = 8;
/// Events of the long request, and the time between them in milliseconds.
const LONG: (u64, u64) = (160, 50);

struct Scene {
    deployment: Deployment,
    group: Group,
    runners: Vec<Runner>,
}

fn open(setting: &Setting<'_>) -> Option<Scene> {
    let record = setting.record;
    let document = caller::document(7, 39_000);
    let deployment = Deployment::start(setting.folder, 1, &document, record)?;
    let group = Group::new(record);
    let mut runners = Vec::new();
    for number in 1..=RUNNERS {
        let traits = Traits { works_on: true, ..Traits::default() };
        let runner = group.start(
            &format!("i-runner{number}"),
            "huvo11a",
            &format!("z{}", 1 + number % 3),
            deployment.runner_address(number),
            traits,
            &deployment.control,
        );
        runners.push(runner.ok()?);
    }
    // Machines count as in touch after 3 s.
    sleep(Duration::from_secs(4));
    Some(Scene { deployment, group, runners })
}

/// Plays short requests at once and returns how many were answered whole.
fn play_short(setting: &Setting<'_>, scene: &Scene) -> usize {
    let gateway = scene.deployment.gateways[0];
    let callers: Vec<_> = (0..SHORT_REQUESTS)
        .map(|_| {
            let record = setting.record.clone();
            thread::spawn(move || {
                let attempt = caller::new_attempt();
                caller::generate(gateway, &attempt, 10, 30, Duration::from_secs(6), &record)
            })
        })
        .collect();
    let ends = callers.into_iter().filter_map(|caller| caller.join().ok());
    ends.filter(|end| end.status == 200 && end.is_whole).count()
}

/// Starts the long request; `disturb` gets the runner that has it before that runner leaves.
fn move_long_request(
    setting: &Setting<'_>,
    scene: &Scene,
    disturb: impl FnOnce(&Runner),
) -> Verdict {
    let record = setting.record.clone();
    let gateway = scene.deployment.gateways[0];
    let attempt = caller::new_attempt();
    let is_over = Arc::new(AtomicBool::new(false));
    let (sent, over) = (attempt.clone(), is_over.clone());
    let calling = thread::spawn(move || {
        let end = caller::generate(gateway, &sent, LONG.0, LONG.1, Duration::from_secs(39), &record);
        over.store(true, Ordering::SeqCst);
        end
    });
    sleep(Duration::from_millis(700));
    let Some(holder) = scene.group.holder(&attempt) else {
        return Verdict::NotRun("the long request did not begin".to_owned());
    };
    let Some(runner) = scene.runners.iter().find(|runner| runner.name() == holder) else {
        return Verdict::NotRun("the long request runs nowhere".to_owned());
    };
    disturb(runner);
    if !runner.drain(&scene.deployment.control) {
        return Verdict::NotRun("no control host acknowledged that the runner leaves".to_owned());
    }
    let until = Instant::now() + WATCHED;
    while Instant::now() < until && !is_over.load(Ordering::SeqCst) {
        sleep(Duration::from_millis(50));
    }
    let runs = scene.group.runs();
    let mine: Vec<_> = runs.iter().filter(|run| run.attempt == attempt).collect();
    let Some(next) = mine.iter().find(|run| run.resumed) else {
        return Verdict::NotRun("the long request did not move".to_owned());
    };
    let longest = mine.iter().filter(|run| run.runner != next.runner && run.began_ms < next.began_ms);
    let longest = longest.map(|run| run.worked_ms.saturating_sub(next.began_ms)).max().unwrap_or(0);
    let end = calling.join().ok();
    let caller_got = end.map_or(String::new(), |end| {
        format!("; its caller got {} events, whole={}", end.events.len(), end.is_whole)
    });
    let text = format!(
        "{attempt} went on at {} and {holder} still worked on it {longest} ms later (bound {BOUND_MS} ms){caller_got}",
        next.runner
    );
    match longest > BOUND_MS {
        true => Verdict::Broken(text),
        false => Verdict::Held(text),
    }
}

/// The runner that leaves has dropped its idle connections without notice.
pub fn stale_connections(setting: &Setting<'_>) -> Verdict {
    let Some(scene) = open(setting) else {
        return Verdict::NotRun("the deployment did not start".to_owned());
    };
    let answered = play_short(setting, &scene);
    if answered < SHORT_REQUESTS {
        return Verdict::NotRun(format!("only {answered} short requests were answered"));
    }
    move_long_request(setting, &scene, |runner| {
        sleep(Duration::from_millis(500));
        if setting.trouble {
            setting.record.line(format!("{} has dropped its idle connections", runner.name()));
            runner.set_faults(Faults { drops_idle: true, ..Faults::default() });
        }
    })
}

/// The runner that leaves has refused another request and asked for a pause.
pub fn paused_engine(setting: &Setting<'_>) -> Verdict {
    let Some(scene) = open(setting) else {
        return Verdict::NotRun("the deployment did not start".to_owned());
    };
    move_long_request(setting, &scene, |runner| {
        if setting.trouble {
            runner.set_faults(Faults { retry_after: Some(3), ..Faults::default() });
        }
        let answered = play_short(setting, &scene);
        setting.record.line(format!("{answered} of {SHORT_REQUESTS} short requests were answered"));
    })
}
