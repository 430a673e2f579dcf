//! Random faults, injected one after the other; relay faults can outlast the next ones.

use std::time;

use peargap_fake::runner;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom as _;
use rand::RngExt as _;
use rustix::process as unix;

use crate::caller;
use crate::deployment;
use crate::ledger;
use crate::notices;

/// Time that a control host needs to catch up after its data folder was deleted.
const CATCH_UP: time::Duration = time::Duration::from_secs(3);
/// Time within which a gateway exits after SIGTERM: its grace period of 3 s and a margin.
const STOP_TIMEOUT: time::Duration = time::Duration::from_millis(4500);

/// Time for which the heartbeats of a runner say that it is ready although its responses say that it
/// leaves.
const SILENT_LEAVE_TIME: time::Duration = time::Duration::from_millis(3500);

/// Time for which runners crash on a part of prompts or on a plain call.
const DEADLY_TIME: time::Duration = time::Duration::from_millis(2500);

/// A fault that can be injected.
#[derive(Clone, Copy, Debug)]
enum Fault {
    ControlKilled,
    ControlPaused,
    ControlWiped,
    ControlsKilled,
    GatewayKilled,
    GatewayStopped,
    GatewayPaused,
    LinkDelayed,
    LinkOneWay,
    LinkReset,
    LinkSilent,
    PeersHeldUp,
    RunnerCrashes,
    RunnerLeaves,
    RunnerLeavesAtOnce,
    RunnerMisbehaves,
    RunnerNamesLimit,
    RunnerPauses,
    RunnerSaysItLeaves,
    RunnerSendsWithoutEnd,
    RunnersCrashOnRequests,
    UpstreamDelayed,
    UpstreamReset,
    UpstreamSilent,
}

const FAULTS: [Fault; 24] = [
    Fault::ControlKilled,
    Fault::ControlPaused,
    Fault::ControlWiped,
    Fault::ControlsKilled,
    Fault::GatewayKilled,
    Fault::GatewayStopped,
    Fault::GatewayPaused,
    Fault::LinkDelayed,
    Fault::LinkOneWay,
    Fault::LinkReset,
    Fault::LinkSilent,
    Fault::PeersHeldUp,
    Fault::RunnerCrashes,
    Fault::RunnerLeaves,
    Fault::RunnerLeavesAtOnce,
    Fault::RunnerMisbehaves,
    Fault::RunnerNamesLimit,
    Fault::RunnerPauses,
    Fault::RunnerSaysItLeaves,
    Fault::RunnerSendsWithoutEnd,
    Fault::RunnersCrashOnRequests,
    Fault::UpstreamDelayed,
    Fault::UpstreamReset,
    Fault::UpstreamSilent,
];

/// Injects one fault after a random pause.
pub(crate) async fn inject_random_fault(
    deployment: &mut deployment::Deployment,
    random: &mut SmallRng,
    ledger: &ledger::Ledger,
) {
    let pause = time::Duration::from_millis(random.random_range(20..400));
    tokio::time::sleep(pause).await;
    let fault = *FAULTS.choose(random).expect("a fault");
    ledger.count_fault();
    inject_fault(deployment, random, ledger, fault).await;
}

async fn inject_fault(
    deployment: &mut deployment::Deployment,
    random: &mut SmallRng,
    ledger: &ledger::Ledger,
    fault: Fault,
) {
    let host = random.random_range(0..deployment::CONTROLS);
    let gateway = random.random_range(0..deployment::GATEWAYS);
    let ready = find_ready(deployment);
    let upstream = *ready.choose(random).expect("an upstream");
    let duration = time::Duration::from_millis(random.random_range(50..700));
    match fault {
        Fault::ControlKilled => {
            deployment.controls[host].kill();
            tokio::time::sleep(duration).await;
            deployment.controls[host].start();
        }
        Fault::ControlPaused => {
            deployment.controls[host].signal(unix::Signal::STOP);
            tokio::time::sleep(duration * 2).await;
            deployment.controls[host].signal(unix::Signal::CONT);
        }
        // A data folder is deleted only while all control hosts are up, with time before and after
        // for a host to catch up: no more than one disk may be lost at a time.
        Fault::ControlWiped if deployment.controls.iter().all(deployment::Process::is_up) => {
            tokio::time::sleep(CATCH_UP).await;
            deployment.delete_data(host);
            deployment.controls[host].start();
            tokio::time::sleep(CATCH_UP).await;
        }
        Fault::ControlWiped => {}
        Fault::ControlsKilled => {
            deployment
                .controls
                .iter_mut()
                .for_each(deployment::Process::kill);
            tokio::time::sleep(duration).await;
            deployment
                .controls
                .iter_mut()
                .for_each(deployment::Process::start);
        }
        Fault::GatewayKilled => {
            ledger.record_disturbance(gateway);
            deployment.gateways[gateway].kill();
            tokio::time::sleep(duration).await;
            deployment.gateways[gateway].start();
        }
        Fault::GatewayStopped => {
            ledger.record_disturbance(gateway);
            deployment.gateways[gateway].signal(unix::Signal::TERM);
            if !deployment.gateways[gateway].wait_exit(STOP_TIMEOUT).await {
                ledger.record_violation(format!(
                    "gateway {gateway} did not exit within {STOP_TIMEOUT:?} of SIGTERM"
                ));
                deployment.gateways[gateway].kill();
            }
            deployment.gateways[gateway].start();
        }
        Fault::GatewayPaused => {
            ledger.record_disturbance(gateway);
            deployment.gateways[gateway].signal(unix::Signal::STOP);
            tokio::time::sleep(duration).await;
            deployment.gateways[gateway].signal(unix::Signal::CONT);
            ledger.record_disturbance(gateway);
        }
        Fault::LinkDelayed => deployment.control_relays[host].delay(duration / 4),
        Fault::LinkOneWay => deployment.control_relays[host].drop_responses(),
        Fault::LinkReset => deployment.control_relays[host].reset(),
        Fault::LinkSilent => deployment.control_relays[host].silence(),
        // What the host sends to the others meanwhile comes late.
        Fault::PeersHeldUp => {
            deployment.hold_peers(host, true);
            tokio::time::sleep(duration * 4).await;
            deployment.hold_peers(host, false);
        }
        Fault::RunnerCrashes => {
            let runner = &deployment.upstreams[upstream].runner;
            runner.crash_on(None, duration);
            runner.crash();
        }
        Fault::RunnerLeaves => {
            replace_upstream(deployment, upstream, deployment::DRAINING).await;
        }
        Fault::RunnerLeavesAtOnce => {
            replace_upstream(deployment, upstream, deployment::LEAVING).await;
        }
        Fault::RunnerMisbehaves => {
            let behaviours = [
                runner::Behaviour::Fail,
                runner::Behaviour::OtherAttempt,
                runner::Behaviour::Reset,
                runner::Behaviour::Shed,
                runner::Behaviour::Unsigned,
            ];
            let runner = &deployment.upstreams[upstream].runner;
            runner.set_behaviour(*behaviours.choose(random).expect("a behaviour"));
            tokio::time::sleep(duration).await;
            deployment.upstreams[upstream]
                .runner
                .set_behaviour(runner::Behaviour::Answer);
        }
        // The limit lasts while other faults follow.
        Fault::RunnerNamesLimit => {
            let runner = deployment.upstreams[upstream].runner.clone();
            runner.set_limit(Some(notices::LIMIT_TEXT));
            tokio::spawn(async move {
                tokio::time::sleep(notices::LIMIT_TIME).await;
                runner.set_limit(None);
            });
        }
        Fault::RunnerPauses => {
            let runner = deployment.upstreams[upstream].runner.clone();
            runner.reject_with_retry_after(notices::PAUSE_TEXT);
            tokio::time::sleep(duration).await;
            runner.set_behaviour(runner::Behaviour::Answer);
        }
        Fault::RunnerSaysItLeaves => {
            let leaving = deployment.upstreams[upstream].clone();
            leaving.runner.announce_leaving();
            let service = leaving.service;
            tokio::spawn(async move {
                tokio::time::sleep(SILENT_LEAVE_TIME).await;
                let mut state = leaving.state.lock().expect("a state");
                *state = state.map(|_state| deployment::DRAINING);
            });
            deployment.add_upstream(service).await;
        }
        Fault::RunnerSendsWithoutEnd => {
            let runner = deployment.upstreams[upstream].runner.clone();
            runner.set_behaviour(runner::Behaviour::Endless);
            tokio::time::sleep(duration).await;
            runner.set_behaviour(runner::Behaviour::Answer);
        }
        // Lasts while other faults follow.
        Fault::RunnersCrashOnRequests => {
            let upstreams = deployment.upstreams.iter();
            let runners: Vec<_> = upstreams.map(|upstream| upstream.runner.clone()).collect();
            for upstream in &deployment.upstreams {
                let trigger = match upstream.service {
                    "pool" => runner::Trigger::Part(caller::DEADLY_PART),
                    _ => runner::Trigger::Body(caller::DEADLY_BODY),
                };
                upstream.runner.crash_on(Some(trigger), duration);
            }
            tokio::spawn(async move {
                tokio::time::sleep(DEADLY_TIME).await;
                for runner in &runners {
                    runner.crash_on(None, duration);
                }
            });
        }
        Fault::UpstreamDelayed => deployment.upstreams[upstream].relay.delay(duration / 4),
        Fault::UpstreamReset => deployment.upstreams[upstream].relay.reset(),
        Fault::UpstreamSilent => deployment.upstreams[upstream].relay.silence(),
    }
}

/// Makes an upstream leave by reporting this state, and starts another one.
async fn replace_upstream(
    deployment: &mut deployment::Deployment,
    upstream: usize,
    state: &'static str,
) {
    let leaving = &deployment.upstreams[upstream];
    *leaving.state.lock().expect("a state") = Some(state);
    let service = leaving.service;
    deployment.add_upstream(service).await;
}

/// Returns the indexes of the upstreams whose heartbeats report that they are ready.
fn find_ready(deployment: &deployment::Deployment) -> Vec<usize> {
    let upstreams = deployment.upstreams.iter().enumerate();
    let ready = upstreams.filter(|(_index, upstream)| {
        let state = *upstream.state.lock().expect("a state");
        state == Some("ready")
    });
    ready.map(|(index, _upstream)| index).collect()
}
