//! Measures claims and settlements.

use std::net;
use std::time;

use peargap_wire::control;
use peargap_wire::control::claim_reply;
use peargap_wire::control::control_client;
use peargap_wire::control::settle_request;

/// Number of concurrent callers.
const CALLERS: usize = 64;
const WINDOW: time::Duration = time::Duration::from_secs(5);
/// Size of a recorded answer.
const ANSWER_BYTES: usize = 512;

type Client = control_client::ControlClient<tonic::transport::Channel>;

/// Claims and settles keys during [`WINDOW`]; returns the latency of each claim.
pub(crate) async fn run(
    hosts: &[net::SocketAddr],
) -> Result<Vec<time::Duration>, Box<dyn std::error::Error>> {
    let mut tasks = Vec::new();
    for caller in 0..CALLERS {
        let host = hosts[caller % hosts.len()];
        let client = Client::connect(format!("http://{host}")).await?;
        tasks.push(tokio::spawn(call(client, caller)));
    }
    let mut times = Vec::new();
    for task in tasks {
        times.extend(task.await?.map_err(|status| status.to_string())?);
    }
    Ok(times)
}

/// Returns the duration of the measurement.
pub(crate) fn window() -> time::Duration {
    WINDOW
}

async fn call(mut client: Client, caller: usize) -> Result<Vec<time::Duration>, tonic::Status> {
    let end = time::Instant::now() + WINDOW;
    let mut times = Vec::new();
    while time::Instant::now() < end {
        let key = format!("team/loans/{caller}-{}", times.len());
        let request = control::ClaimRequest {
            attempt: key.clone(),
            deadline_ms: 10_000,
            digest: 1,
            key: key.clone(),
        };
        let started = time::Instant::now();
        let reply = client.claim(request).await?.into_inner();
        times.push(started.elapsed());
        let Some(claim_reply::Kind::Granted(fence)) = reply.kind else {
            return Err(tonic::Status::internal(format!("not granted: {reply:?}")));
        };
        let answer = settle_request::Outcome::Answer(vec![0; ANSWER_BYTES].into());
        let settle = control::SettleRequest {
            fence,
            key,
            outcome: Some(answer),
        };
        client.settle(settle).await?;
    }
    Ok(times)
}
