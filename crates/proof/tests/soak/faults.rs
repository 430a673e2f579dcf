//! Random faults, injected one after the other; relay faults can outlast the next ones.

use std::time;

use peargap_fake::runner;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom as _;
use rand::RngExt as _;
use rustix::process as unix;

use crate::ledger;
use crate::site;

/// Time that a control host needs to catch up after its data folder was deleted.
const CATCH_UP: time::Duration = time::Duration::from_secs(3);
/// Time within which a gateway exits after SIGTERM: its grace period of 3 s and a margin.
const STOP_TIMEOUT: time::Duration = time::Duration::from_millis(4500);

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
    RunnerLeaves,
    RunnerMisbehaves,
    UpstreamDelayed,
    UpstreamReset,
    UpstreamSilent,
}

const FAULTS: [Fault; 16] = [
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
    Fault::RunnerLeaves,
    Fault::RunnerMisbehaves,
    Fault::UpstreamDelayed,
    Fault::UpstreamReset,
    Fault::UpstreamSilent,
];

/// Injects one fault after a random pause.
pub(crate) async fn strike(site: &mut site::Site, random: &mut SmallRng, ledger: &ledger::Ledger) {
    let pause = time::Duration::from_millis(random.random_range(20..400));
    tokio::time::sleep(pause).await;
    let fault = *FAULTS.choose(random).expect("a fault");
    ledger.count_strike();
    inject_fault(site, random, ledger, fault).await;
}

async fn inject_fault(
    site: &mut site::Site,
    random: &mut SmallRng,
    ledger: &ledger::Ledger,
    fault: Fault,
) {
    let host = random.random_range(0..site::CONTROLS);
    let gateway = random.random_range(0..site::GATEWAYS);
    let ready = find_ready(site);
    let upstream = *ready.choose(random).expect("an upstream");
    let duration = time::Duration::from_millis(random.random_range(50..700));
    match fault {
        Fault::ControlKilled => {
            site.controls[host].kill();
            tokio::time::sleep(duration).await;
            site.controls[host].start();
        }
        Fault::ControlPaused => {
            site.controls[host].signal(unix::Signal::STOP);
            tokio::time::sleep(duration * 2).await;
            site.controls[host].signal(unix::Signal::CONT);
        }
        // A data folder is deleted only while all control hosts are up, with time before and after
        // for a host to catch up: no more than one disk may be lost at a time.
        Fault::ControlWiped if site.controls.iter().all(site::Process::is_up) => {
            tokio::time::sleep(CATCH_UP).await;
            site.wipe(host);
            site.controls[host].start();
            tokio::time::sleep(CATCH_UP).await;
        }
        Fault::ControlWiped => {}
        Fault::ControlsKilled => {
            site.controls.iter_mut().for_each(site::Process::kill);
            tokio::time::sleep(duration).await;
            site.controls.iter_mut().for_each(site::Process::start);
        }
        Fault::GatewayKilled => {
            site.gateways[gateway].kill();
            tokio::time::sleep(duration).await;
            site.gateways[gateway].start();
        }
        Fault::GatewayStopped => {
            site.gateways[gateway].signal(unix::Signal::TERM);
            if !site.gateways[gateway].wait_end(STOP_TIMEOUT).await {
                ledger.find(format!(
                    "gateway {gateway} did not exit within {STOP_TIMEOUT:?} of SIGTERM"
                ));
                site.gateways[gateway].kill();
            }
            site.gateways[gateway].start();
        }
        Fault::GatewayPaused => {
            site.gateways[gateway].signal(unix::Signal::STOP);
            tokio::time::sleep(duration).await;
            site.gateways[gateway].signal(unix::Signal::CONT);
        }
        Fault::LinkDelayed => site.control_relays[host].delay(duration / 4),
        Fault::LinkOneWay => site.control_relays[host].drop_responses(),
        Fault::LinkReset => site.control_relays[host].reset(),
        Fault::LinkSilent => site.control_relays[host].silence(),
        Fault::RunnerLeaves => {
            let leaving = &site.upstreams[upstream];
            *leaving.state.lock().expect("a state") = Some("draining");
            let service = leaving.service;
            site.add_upstream(service).await;
        }
        Fault::RunnerMisbehaves => {
            let behaviours = [
                runner::Behaviour::Fail,
                runner::Behaviour::OtherAttempt,
                runner::Behaviour::Reset,
                runner::Behaviour::Shed,
                runner::Behaviour::Unsigned,
            ];
            let runner = &site.upstreams[upstream].runner;
            runner.behave(*behaviours.choose(random).expect("a behaviour"));
            tokio::time::sleep(duration).await;
            site.upstreams[upstream]
                .runner
                .behave(runner::Behaviour::Answer);
        }
        Fault::UpstreamDelayed => site.upstreams[upstream].relay.delay(duration / 4),
        Fault::UpstreamReset => site.upstreams[upstream].relay.reset(),
        Fault::UpstreamSilent => site.upstreams[upstream].relay.silence(),
    }
}

/// Returns the indexes of the upstreams whose heartbeats report that they are ready.
fn find_ready(site: &site::Site) -> Vec<usize> {
    let upstreams = site.upstreams.iter().enumerate();
    let ready = upstreams.filter(|(_index, upstream)| {
        let state = *upstream.state.lock().expect("a state");
        state == Some("ready")
    });
    ready.map(|(index, _upstream)| index).collect()
}
