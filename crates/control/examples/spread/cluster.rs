//! Runs control hosts as processes.

use std::env;
use std::fs;
use std::io;
use std::net;
use std::process;
use std::time;

use peargap_adapters::digest;
use peargap_wire::operator;
use peargap_wire::operator::operator_client;
use peargap_wire::operator::submit_request;

const KEY: &str = "spread-example-key";
const MANIFEST: &str = "[deployment]\nname=spread\n[domain zone-0]\nregion=r\n\
                        [domain zone-1]\nregion=r\n[domain zone-2]\nregion=r\n\
                        [domain zone-3]\nregion=r\n";
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;
const PAGE_BYTES: f64 = 4096.0;
const LEADER_TIMEOUT: time::Duration = time::Duration::from_secs(20);
const POLL_PERIOD: time::Duration = time::Duration::from_millis(50);

pub(crate) type Operator = operator_client::OperatorClient<tonic::transport::Channel>;

/// Resource usage of a process since its start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Usage {
    pub(crate) cpu_seconds: f64,
    pub(crate) resident_bytes: f64,
}

pub(crate) struct Cluster {
    children: Vec<process::Child>,
    _folder: tempfile::TempDir,
    internals: Vec<net::SocketAddr>,
    operators: Vec<net::SocketAddr>,
}

impl Cluster {
    /// Starts `count` hosts as each other's peers.
    pub(crate) fn start(count: usize) -> io::Result<Cluster> {
        let folder = tempfile::tempdir()?;
        let internals = find_addresses(count)?;
        let operators = find_addresses(count)?;
        let healths = find_addresses(count)?;
        let mut children = Vec::new();
        for host in 0..count {
            let mut text = format!(
                "[node]\nname=c{host}\ndomain=zone-{host}\n[listen]\ninternal={}\noperators={}\n\
                 health={}\n[data]\nfolder={}\n[operators]\nkey_sha256={}\n[log]\nlevel=error\n\
                 [bootstrap]\nvoters={}\n",
                internals[host],
                operators[host],
                healths[host],
                folder.path().join(format!("c{host}")).display(),
                hash_key(),
                list_names(count)
            );
            for (peer, address) in internals
                .iter()
                .enumerate()
                .filter(|(peer, _)| *peer != host)
            {
                text.push_str(&format!("[peer c{peer}]\naddress={address}\n"));
            }
            let settings = folder.path().join(format!("c{host}.ini"));
            fs::write(&settings, text)?;
            let program = find_program()?;
            let child = process::Command::new(program)
                .arg("--config")
                .arg(settings)
                .spawn()?;
            children.push(child);
        }
        Ok(Cluster {
            _folder: folder,
            children,
            internals,
            operators,
        })
    }

    pub(crate) fn internals(&self) -> &[net::SocketAddr] {
        &self.internals
    }

    /// Waits until a host reports that it is the leader.
    pub(crate) async fn wait_for_leader(&self) -> Result<(), Box<dyn std::error::Error>> {
        let end = time::Instant::now() + LEADER_TIMEOUT;
        while time::Instant::now() < end {
            for address in &self.operators {
                let Ok(mut operator) = Operator::connect(format!("http://{address}")).await else {
                    continue;
                };
                let status = operator.status(authorize(operator::StatusRequest {})).await;
                if status.is_ok_and(|status| status.into_inner().role == "leader") {
                    return Ok(());
                }
            }
            tokio::time::sleep(POLL_PERIOD).await;
        }
        Err("no leader".into())
    }

    pub(crate) async fn connect_operator(
        &self,
    ) -> Result<tonic::transport::Channel, tonic::transport::Error> {
        let address = format!("http://{}", self.operators[0]);
        let endpoint = tonic::transport::Endpoint::from_shared(address)?;
        endpoint.tcp_nodelay(true).connect().await
    }

    /// Returns the resource usage of each host.
    pub(crate) fn read_usage(&self) -> Vec<Usage> {
        let children = self.children.iter();
        children.map(|child| read_usage(child.id())).collect()
    }

    pub(crate) fn stop(&mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Submits the manifest of the example's deployment.
pub(crate) async fn submit_manifest(
    operator: &mut Operator,
) -> Result<(), Box<dyn std::error::Error>> {
    let change = submit_request::Change::Manifest(MANIFEST.into());
    submit(operator, "manifest".to_owned(), change).await?;
    Ok(())
}

/// Submits a change and returns the version that holds it.
pub(crate) async fn submit(
    operator: &mut Operator,
    id: String,
    change: submit_request::Change,
) -> Result<u64, Box<dyn std::error::Error>> {
    let request = operator::SubmitRequest {
        base_revision: 0,
        change: Some(change),
        id,
        operator: "spread".to_owned(),
    };
    let reply = operator.submit(authorize(request)).await?.into_inner();
    match reply.kind {
        Some(operator::submit_reply::Kind::Accepted(accepted)) => Ok(accepted.version),
        other => Err(format!("not accepted: {other:?}").into()),
    }
}

fn authorize<T>(message: T) -> tonic::Request<T> {
    let mut request = tonic::Request::new(message);
    if let Ok(value) = format!("Bearer {KEY}").parse() {
        request.metadata_mut().insert("authorization", value);
    }
    request
}

fn hash_key() -> String {
    let digest = digest::hash_key(KEY.as_bytes());
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn list_names(count: usize) -> String {
    let names: Vec<String> = (0..count).map(|host| format!("c{host}")).collect();
    names.join(",")
}

/// Returns the path of the host's program, which is in the parent of this example's folder.
fn find_program() -> io::Result<std::path::PathBuf> {
    let example = env::current_exe()?;
    let folder = example.parent().and_then(std::path::Path::parent);
    let folder = folder.ok_or_else(|| io::Error::other("no target folder"))?;
    Ok(folder.join("peargap-control"))
}

fn find_addresses(count: usize) -> io::Result<Vec<net::SocketAddr>> {
    let mut listeners = Vec::new();
    for _ in 0..count {
        listeners.push(net::TcpListener::bind("127.0.0.1:0")?);
    }
    listeners.iter().map(net::TcpListener::local_addr).collect()
}

fn read_usage(id: u32) -> Usage {
    let text = fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let rest = text.rsplit_once(") ").map_or("", |(_, rest)| rest);
    let fields: Vec<&str> = rest.split(' ').collect();
    let field = |index: usize| -> f64 {
        let value = fields.get(index).and_then(|field| field.parse().ok());
        value.unwrap_or(f64::NAN)
    };
    Usage {
        cpu_seconds: (field(11) + field(12)) / CLOCK_TICKS_PER_SECOND,
        resident_bytes: field(21) * PAGE_BYTES,
    }
}
