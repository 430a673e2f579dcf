//! A fake control host: one configuration, leases, and claims with planned losses.

use std::collections;
use std::net;
use std::pin;
use std::sync;

use peargap_wire::control as wire;
use peargap_wire::control::claim_reply;
use peargap_wire::control::control_server;
use peargap_wire::control::settle_request;
use tokio::sync::watch;
use tokio_stream::wrappers;
use tokio_stream::StreamExt as _;

/// Duration of a lease in milliseconds.
const LEASE_MS: u32 = 3_000;

#[derive(Default)]
pub struct State {
    claims: collections::HashMap<String, Claim>,
    config: wire::Config,
    fences: u64,
    grants_leases: bool,
    /// Number of claim requests to process whose reply is lost.
    pub lost_claims: u32,
    /// Number of settlements to process whose reply is lost.
    pub lost_settles: u32,
    /// Number of settlements to drop unprocessed.
    pub dropped_settles: u32,
    pub settles: Vec<wire::SettleRequest>,
}

struct Claim {
    attempt: String,
    digest: u64,
    fence: u64,
    outcome: Option<settle_request::Outcome>,
}

#[derive(Clone)]
pub struct Control {
    pub address: net::SocketAddr,
    changes: watch::Sender<u64>,
    pub state: sync::Arc<sync::Mutex<State>>,
}

impl Control {
    /// Starts a control host with this manifest.
    pub fn start(manifest: &str) -> Control {
        let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let control = Control {
            address: listener.local_addr().unwrap(),
            changes: watch::Sender::new(1),
            state: sync::Arc::default(),
        };
        control.change(|state| {
            state.grants_leases = true;
            state.config.revision = 1;
            state.config.manifest = manifest.to_owned().into();
        });
        let listener = tokio::net::TcpListener::from_std(listener).unwrap();
        let service = control_server::ControlServer::new(control.clone());
        let incoming = wrappers::TcpListenerStream::new(listener);
        tokio::spawn(
            tonic::transport::Server::builder()
                .add_service(service)
                .serve_with_incoming(incoming),
        );
        control
    }

    /// Changes the state and publishes it as a new version of the configuration.
    pub fn change(&self, change: impl FnOnce(&mut State)) {
        let mut state = self.state.lock().unwrap();
        change(&mut state);
        state.config.version += 1;
        self.changes.send_replace(state.config.version);
    }

    pub fn add_member(&self, member: wire::Member) {
        self.change(|state| state.config.members.push(member));
    }

    pub fn take_domain_out(&self, domain: &str) {
        self.change(|state| state.config.domains_out.push(domain.to_owned()));
    }

    /// Stops granting leases, as a host without a quorum does.
    pub fn stop_leases(&self) {
        self.change(|state| state.grants_leases = false);
    }

    /// Returns the settlements received.
    pub fn settles(&self) -> Vec<wire::SettleRequest> {
        self.state.lock().unwrap().settles.clone()
    }

    fn build_update(&self, number: u64, known: u64) -> wire::Update {
        let state = self.state.lock().unwrap();
        let newer = state.config.version > known;
        wire::Update {
            version: state.config.version,
            config: newer.then(|| state.config.clone()),
            lease_ms: if state.grants_leases { LEASE_MS } else { 0 },
            number,
            ..wire::Update::default()
        }
    }
}

type Updates = pin::Pin<
    Box<dyn tokio_stream::Stream<Item = Result<wire::Update, tonic::Status>> + Send + 'static>,
>;

#[tonic::async_trait]
impl control_server::Control for Control {
    type WatchStream = Updates;

    async fn watch(
        &self,
        request: tonic::Request<tonic::Streaming<wire::Report>>,
    ) -> Result<tonic::Response<Updates>, tonic::Status> {
        let control = self.clone();
        let answers = request.into_inner().map(move |report| {
            let report = report?;
            Ok(control.build_update(report.number, report.applied_version))
        });
        let control = self.clone();
        let changes = wrappers::WatchStream::new(self.changes.subscribe());
        let pushed = changes.map(move |_| Ok(control.build_update(0, 0)));
        Ok(tonic::Response::new(Box::pin(answers.merge(pushed))))
    }

    async fn claim(
        &self,
        request: tonic::Request<wire::ClaimRequest>,
    ) -> Result<tonic::Response<wire::ClaimReply>, tonic::Status> {
        let request = request.into_inner();
        let mut state = self.state.lock().unwrap();
        let kind = decide_claim(&mut state, request);
        if state.lost_claims > 0 {
            state.lost_claims -= 1;
            return Err(tonic::Status::unavailable("lost"));
        }
        let kind = Some(kind);
        Ok(tonic::Response::new(wire::ClaimReply { kind }))
    }

    async fn settle(
        &self,
        request: tonic::Request<wire::SettleRequest>,
    ) -> Result<tonic::Response<wire::SettleReply>, tonic::Status> {
        let request = request.into_inner();
        let mut state = self.state.lock().unwrap();
        if state.dropped_settles > 0 {
            state.dropped_settles -= 1;
            return Err(tonic::Status::unavailable("dropped"));
        }
        state.settles.push(request.clone());
        let claim = state.claims.get_mut(&request.key);
        let held = claim.filter(|claim| claim.fence == request.fence);
        let recorded = held.is_some();
        if let Some(claim) = held {
            claim.outcome = request.outcome;
        }
        if state.lost_settles > 0 {
            state.lost_settles -= 1;
            return Err(tonic::Status::unavailable("lost"));
        }
        Ok(tonic::Response::new(wire::SettleReply { recorded }))
    }
}

fn decide_claim(state: &mut State, request: wire::ClaimRequest) -> claim_reply::Kind {
    if let Some(claim) = state.claims.get(&request.key) {
        if claim.digest != request.digest {
            return claim_reply::Kind::Mismatch(true);
        }
        match &claim.outcome {
            None if claim.attempt == request.attempt => {
                return claim_reply::Kind::Granted(claim.fence);
            }
            None => return claim_reply::Kind::InProgress(700),
            Some(settle_request::Outcome::Answer(answer)) => {
                return claim_reply::Kind::Answer(answer.clone());
            }
            Some(settle_request::Outcome::Unknown(_)) => return claim_reply::Kind::Unknown(true),
            Some(settle_request::Outcome::Ran(_)) => return claim_reply::Kind::Ran(true),
            Some(settle_request::Outcome::NotRun(_)) => {}
        }
    }
    state.fences += 1;
    let fence = state.fences;
    let claim = Claim {
        attempt: request.attempt,
        digest: request.digest,
        fence,
        outcome: None,
    };
    state.claims.insert(request.key, claim);
    claim_reply::Kind::Granted(fence)
}
