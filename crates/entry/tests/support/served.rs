//! gRPC service of the fake agent.

use std::pin;
use std::time;

use peargap_wire::agent as wire;
use peargap_wire::agent::agent_server;
use peargap_wire::agent::call_reply;
use tokio::sync::mpsc;
use tokio_stream::wrappers;
use tokio_stream::StreamExt as _;

use super::agent::fail;
use super::agent::CallOutcome;
use super::agent::Shared;

type Stream<T> =
    pin::Pin<Box<dyn tokio_stream::Stream<Item = Result<T, tonic::Status>> + Send + 'static>>;

#[tonic::async_trait]
impl agent_server::Agent for Shared {
    type GenerateStream = Stream<wire::Down>;
    type ObserveStream = Stream<wire::Load>;

    async fn generate(
        &self,
        request: tonic::Request<tonic::Streaming<wire::Up>>,
    ) -> Result<tonic::Response<Self::GenerateStream>, tonic::Status> {
        let (sender, receiver) = mpsc::channel(4);
        tokio::spawn(self.clone().serve(request.into_inner(), sender));
        let stream = wrappers::ReceiverStream::new(receiver);
        Ok(tonic::Response::new(Box::pin(stream)))
    }

    async fn call(
        &self,
        request: tonic::Request<wire::CallRequest>,
    ) -> Result<tonic::Response<wire::CallReply>, tonic::Status> {
        let request = request.into_inner();
        let mut outcome = CallOutcome::Answer(200, "done");
        let mut repeated = false;
        self.change(|state| {
            let calls = &mut state.seen.calls;
            repeated = calls.iter().any(|call| call.request == request.request);
            calls.push(request);
            if !repeated {
                outcome = state.call_outcomes.pop_front().unwrap_or(outcome.clone());
            }
            if !repeated && !matches!(outcome, CallOutcome::Fail(_)) {
                state.seen.runs += 1;
            }
        });
        let kind = match outcome {
            _ if repeated => {
                call_reply::Kind::Failed(fail(wire::Ran::Unknown, wire::Reason::Repeated, 0))
            }
            CallOutcome::Answer(status, body) => answer(status, body),
            CallOutcome::Fail(failed) => call_reply::Kind::Failed(failed),
            CallOutcome::LoseAnswer => return Err(tonic::Status::unavailable("lost")),
            CallOutcome::Wait => {
                self.wait(|state| state.releases > 0).await;
                answer(200, "late")
            }
        };
        let kind = Some(kind);
        Ok(tonic::Response::new(wire::CallReply { kind }))
    }

    async fn observe(
        &self,
        request: tonic::Request<tonic::Streaming<wire::Seen>>,
    ) -> Result<tonic::Response<Self::ObserveStream>, tonic::Status> {
        let shared = self.clone();
        let mut seen = request.into_inner();
        tokio::spawn(async move {
            while let Ok(Some(seen)) = seen.message().await {
                if seen.sequence > 0 {
                    shared.change(|state| {
                        state.seen.observed.insert(seen.entry);
                    });
                }
            }
        });
        let load = wire::Load {
            upstream: self.name.clone(),
            incarnation: "i1".to_owned(),
            memory_tokens: 100_000,
            limit: 64,
            healthy: true,
            models: self.offers(),
            ..wire::Load::default()
        };
        let timer = tokio::time::interval(time::Duration::from_millis(100));
        let mut sequence = 0;
        let loads = wrappers::IntervalStream::new(timer).map(move |_| {
            sequence += 1;
            Ok(wire::Load {
                sequence,
                ..load.clone()
            })
        });
        Ok(tonic::Response::new(Box::pin(loads)))
    }
}

fn answer(status: u32, body: &'static str) -> call_reply::Kind {
    call_reply::Kind::Response(wire::Response {
        status,
        headers: Vec::new(),
        body: body.into(),
    })
}
