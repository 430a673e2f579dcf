//! A fake control host that publishes a configuration set by the test.

use core::net;
use core::pin;
use std::sync;

use futures::Stream;
use futures::StreamExt as _;
use peargap_wire::control as wire;
use tokio::sync::mpsc;
use tokio_stream::wrappers;

/// Duration of a granted lease, in milliseconds.
const LEASE_MS: u32 = 1_200;
const MANIFEST: &str = "[deployment]\nname=test\n[domain a]\nregion=r\n\
    [model transcript]\nmax_output_tokens=4000\nmax_prompt_tokens=4000\npriority=1\nreplicas=1\n\
    [service loans]\nrepeatable=false\npriority=1\n\
    [team archive]\nkey_sha256=0000000000000000000000000000000000000000000000000000000000000000\n\
    weight=1\npriority=1\n";

/// A fake control host; clones share its state.
#[derive(Clone)]
pub(crate) struct Control(sync::Arc<sync::Mutex<State>>);

struct State {
    config: wire::Config,
    grants: bool,
    leaving: bool,
}

type Updates = pin::Pin<Box<dyn Stream<Item = Result<wire::Update, tonic::Status>> + Send>>;

impl Control {
    /// Starts a control host with a configuration of version 1.
    pub(crate) async fn start() -> (Control, net::SocketAddr) {
        let config = wire::Config {
            version: 1,
            revision: 1,
            manifest: MANIFEST.into(),
            ..wire::Config::default()
        };
        let state = State {
            config,
            grants: true,
            leaving: false,
        };
        let control = Control(sync::Arc::new(sync::Mutex::new(state)));
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let server = wire::control_server::ControlServer::new(control.clone());
        let incoming = wrappers::TcpListenerStream::new(listener);
        let serving = tonic::transport::Server::builder().add_service(server);
        tokio::spawn(serving.serve_with_incoming(incoming));
        (control, address)
    }

    /// Changes the configuration and increments its version.
    pub(crate) fn change(&self, change: impl FnOnce(&mut wire::Config)) {
        let mut state = self.0.lock().unwrap();
        change(&mut state.config);
        state.config.version += 1;
    }

    /// Sets whether leases are granted.
    pub(crate) fn set_grants(&self, grants: bool) {
        self.0.lock().unwrap().grants = grants;
    }

    /// Returns whether the agent has reported that it is leaving.
    pub(crate) fn saw_leaving(&self) -> bool {
        self.0.lock().unwrap().leaving
    }

    fn answer(&self, report: &wire::Report) -> wire::Update {
        let mut state = self.0.lock().unwrap();
        state.leaving |= report.leaving;
        let behind = report.applied_version < state.config.version;
        wire::Update {
            version: state.config.version,
            config: behind.then(|| state.config.clone()),
            lease_ms: if state.grants { LEASE_MS } else { 0 },
            number: report.number,
            ..wire::Update::default()
        }
    }
}

#[tonic::async_trait]
impl wire::control_server::Control for Control {
    type WatchStream = Updates;

    async fn watch(
        &self,
        request: tonic::Request<tonic::Streaming<wire::Report>>,
    ) -> Result<tonic::Response<Updates>, tonic::Status> {
        let (updates, outgoing) = mpsc::channel(8);
        let control = self.clone();
        let mut reports = request.into_inner();
        tokio::spawn(async move {
            while let Some(Ok(report)) = reports.next().await {
                if updates.send(Ok(control.answer(&report))).await.is_err() {
                    return;
                }
            }
        });
        Ok(tonic::Response::new(Box::pin(
            wrappers::ReceiverStream::new(outgoing),
        )))
    }

    async fn claim(
        &self,
        _: tonic::Request<wire::ClaimRequest>,
    ) -> Result<tonic::Response<wire::ClaimReply>, tonic::Status> {
        Err(tonic::Status::unimplemented("not in this test"))
    }

    async fn settle(
        &self,
        _: tonic::Request<wire::SettleRequest>,
    ) -> Result<tonic::Response<wire::SettleReply>, tonic::Status> {
        Err(tonic::Status::unimplemented("not in this test"))
    }
}
