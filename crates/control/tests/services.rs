//! The gRPC services over loopback connections, with a replica that keeps its log in memory.

use core::net;
use core::time;

use peargap_adapters::digest;
use peargap_control::replica;
use peargap_control::service;
use peargap_control::state_machine;
use peargap_wire::control;
use peargap_wire::control::control_client;
use peargap_wire::operator;
use peargap_wire::operator::operator_client;
use tokio::net as sockets;
use tokio::sync::mpsc;
use tokio_stream::wrappers;
use tokio_util::sync as cancel;

const KEY: &str = "operators-example-key";
const MANIFEST: &str =
    "[deployment]\nname = test\n[domain a]\nregion = r\n[domain b]\nregion = r\n";

struct Host {
    control: net::SocketAddr,
    operator: net::SocketAddr,
    _stop: cancel::DropGuard,
}

async fn start() -> Host {
    let token = cancel::CancellationToken::new();
    let options = service::Options {
        rollout: peargap_core::rollout::schedule::Bounds::default(),
        handle: replica::spawn_volatile(state_machine::StateMachine::new()),
        lease: time::Duration::from_millis(1_500),
        name: "c1".to_owned(),
        operator_keys: vec![digest::hash_key(KEY.as_bytes())],
    };
    let services = service::build(options, token.clone());
    let control = sockets::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let operator = sockets::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let host = Host {
        control: control.local_addr().unwrap(),
        operator: operator.local_addr().unwrap(),
        _stop: token.drop_guard(),
    };
    let serve_control = tonic::transport::Server::builder()
        .add_service(services.control)
        .serve_with_incoming(wrappers::TcpListenerStream::new(control));
    let serve_operator = tonic::transport::Server::builder()
        .add_service(services.operator)
        .serve_with_incoming(wrappers::TcpListenerStream::new(operator));
    tokio::spawn(serve_control);
    tokio::spawn(serve_operator);
    host
}

type Operator = operator_client::OperatorClient<tonic::transport::Channel>;

impl Host {
    async fn operator(&self) -> Operator {
        Operator::connect(format!("http://{}", self.operator))
            .await
            .unwrap()
    }

    async fn control(&self) -> control_client::ControlClient<tonic::transport::Channel> {
        control_client::ControlClient::connect(format!("http://{}", self.control))
            .await
            .unwrap()
    }
}

fn add_key<T>(message: T) -> tonic::Request<T> {
    let mut request = tonic::Request::new(message);
    let value = format!("Bearer {KEY}").parse().unwrap();
    request.metadata_mut().insert("authorization", value);
    request
}

async fn submit(
    operator: &mut Operator,
    id: &str,
    base: u64,
    change: operator::submit_request::Change,
) -> operator::submit_reply::Kind {
    let request = operator::SubmitRequest {
        base_revision: base,
        change: Some(change),
        id: id.to_owned(),
        operator: "ada".to_owned(),
    };
    let reply = operator
        .submit(add_key(request))
        .await
        .unwrap()
        .into_inner();
    reply.kind.unwrap()
}

fn manifest() -> operator::submit_request::Change {
    operator::submit_request::Change::Manifest(MANIFEST.into())
}

struct Node {
    reports: mpsc::Sender<control::Report>,
    updates: tonic::Streaming<control::Update>,
}

impl Node {
    async fn attach(host: &Host, name: &str, incarnation: &str, role: control::Role) -> Node {
        let (reports, outgoing) = mpsc::channel(8);
        let first = control::Report {
            node: Some(control::Node {
                address: "127.0.0.1:1".to_owned(),
                domain: "a".to_owned(),
                incarnation: incarnation.to_owned(),
                name: name.to_owned(),
                role: role.into(),
            }),
            number: 1,
            ..control::Report::default()
        };
        reports.send(first).await.unwrap();
        let mut control = host.control().await;
        let updates = control.watch(wrappers::ReceiverStream::new(outgoing)).await;
        Node {
            reports,
            updates: updates.unwrap().into_inner(),
        }
    }

    async fn next(&mut self) -> control::Update {
        self.updates.message().await.unwrap().unwrap()
    }

    async fn report(&mut self, number: u64, applied_version: u64) -> control::Update {
        let report = control::Report {
            applied_version,
            number,
            ..control::Report::default()
        };
        self.reports.send(report).await.unwrap();
        loop {
            let update = self.next().await;
            if update.number == number {
                return update;
            }
        }
    }
}

#[tokio::test]
async fn a_call_without_a_known_key_is_rejected() {
    let host = start().await;
    let mut operator = host.operator().await;
    let refused = operator.show(operator::ShowRequest {}).await.unwrap_err();
    assert_eq!(refused.code(), tonic::Code::Unauthenticated);
}

#[tokio::test]
async fn a_conflicting_change_is_answered_with_the_winner() {
    let host = start().await;
    let mut operator = host.operator().await;
    let first = submit(&mut operator, "x1", 0, manifest()).await;
    let operator::submit_reply::Kind::Accepted(first) = first else {
        panic!("{first:?}");
    };
    assert_eq!((first.revision, first.repeated), (1, false));
    let second = submit(&mut operator, "x2", 0, manifest()).await;
    let operator::submit_reply::Kind::Conflict(conflict) = second else {
        panic!("{second:?}");
    };
    assert_eq!(conflict.winner_id, "x1");
    assert_eq!(conflict.winner_operator, "ada");
    let again = submit(&mut operator, "x1", 1, manifest()).await;
    let operator::submit_reply::Kind::Accepted(again) = again else {
        panic!("{again:?}");
    };
    assert_eq!((again.version, again.repeated), (first.version, true));
    let history = operator::HistoryRequest { limit: 10 };
    let history = operator
        .history(add_key(history))
        .await
        .unwrap()
        .into_inner();
    let ids: Vec<&str> = history.entries.iter().map(|entry| &*entry.id).collect();
    assert_eq!(ids, ["x2", "x1"]);
}

#[tokio::test]
async fn a_change_reaches_an_attached_node_as_a_delta() {
    let host = start().await;
    let mut operator = host.operator().await;
    submit(&mut operator, "m", 0, manifest()).await;
    let mut node = Node::attach(&host, "e1", "i1", control::Role::Entry).await;
    let first = node.next().await;
    let whole = first.config.unwrap();
    assert_eq!(whole.members.len(), 1);
    assert!(first.lease_ms > 0);
    let fresh = node.report(2, whole.version).await;
    assert_eq!((fresh.delta, fresh.config), (None, None));
    let out = operator::submit_request::Change::DomainOut("b".to_owned());
    submit(&mut operator, "o", 0, out).await;
    let pushed = node.next().await;
    let delta = pushed.delta.unwrap();
    assert_eq!(delta.base_version, whole.version);
    let state = control::DomainState {
        domain: "b".to_owned(),
        out: true,
    };
    let kind = control::change::Kind::Domain(state);
    assert_eq!(delta.changes, [control::Change { kind: Some(kind) }]);
    assert_eq!(pushed.version, whole.version + 1);
}

#[tokio::test]
async fn an_agent_gets_no_changes_of_other_nodes() {
    let host = start().await;
    let mut agent = Node::attach(&host, "a1", "i1", control::Role::Agent).await;
    let first = agent.next().await;
    let mut entry = Node::attach(&host, "e1", "i1", control::Role::Entry).await;
    let seen = entry.next().await;
    assert_eq!(seen.config.unwrap().members.len(), 2);
    let answer = agent.report(2, first.version).await;
    let delta = answer.delta.unwrap();
    assert_eq!(delta.changes, []);
    assert_eq!(answer.version, seen.version);
    assert!(answer.lease_ms > 0);
}

#[tokio::test]
async fn the_older_of_two_processes_with_one_name_loses_its_lease() {
    let host = start().await;
    let mut older = Node::attach(&host, "a1", "old", control::Role::Agent).await;
    let first = older.next().await;
    assert!(first.lease_ms > 0 && !first.replaced);
    let mut newer = Node::attach(&host, "a1", "new", control::Role::Agent).await;
    assert!(newer.next().await.lease_ms > 0);
    let told = older.report(2, first.version).await;
    assert!(told.replaced);
    assert_eq!(told.lease_ms, 0);
    let mut back = Node::attach(&host, "a1", "old", control::Role::Agent).await;
    assert!(back.next().await.replaced);
}

#[tokio::test]
async fn a_claim_is_granted_once_and_its_answer_recorded() {
    let host = start().await;
    let mut client = host.control().await;
    let request = control::ClaimRequest {
        attempt: "a".to_owned(),
        deadline_ms: 1000,
        digest: 7,
        key: "team/loans/k".to_owned(),
    };
    let reply = client.claim(request.clone()).await.unwrap().into_inner();
    let Some(control::claim_reply::Kind::Granted(fence)) = reply.kind else {
        panic!("{reply:?}");
    };
    let resent = client.claim(request.clone()).await.unwrap().into_inner();
    assert_eq!(resent.kind, reply.kind);
    let other = control::ClaimRequest {
        attempt: "b".to_owned(),
        ..request.clone()
    };
    let waits = client.claim(other.clone()).await.unwrap().into_inner();
    assert!(matches!(
        waits.kind,
        Some(control::claim_reply::Kind::InProgress(_))
    ));
    let settle = control::SettleRequest {
        fence,
        key: request.key.clone(),
        outcome: Some(control::settle_request::Outcome::Answer("done".into())),
    };
    let settled = client.settle(settle.clone()).await.unwrap().into_inner();
    assert!(settled.recorded);
    assert!(client.settle(settle).await.unwrap().into_inner().recorded);
    let repeat = client.claim(other).await.unwrap().into_inner();
    let answer = control::claim_reply::Kind::Answer("done".into());
    assert_eq!(repeat.kind, Some(answer));
    let another = control::ClaimRequest {
        digest: 8,
        ..request
    };
    let refused = client.claim(another).await.unwrap().into_inner();
    assert_eq!(
        refused.kind,
        Some(control::claim_reply::Kind::Mismatch(true))
    );
}

#[tokio::test]
async fn a_call_with_an_answer_too_large_to_store_is_recorded_as_run() {
    let host = start().await;
    let mut client = host.control().await;
    let request = control::ClaimRequest {
        attempt: "a".to_owned(),
        deadline_ms: 1000,
        digest: 7,
        key: "team/loans/large".to_owned(),
    };
    let reply = client.claim(request.clone()).await.unwrap().into_inner();
    let Some(control::claim_reply::Kind::Granted(fence)) = reply.kind else {
        panic!("{reply:?}");
    };
    let settle = control::SettleRequest {
        fence,
        key: request.key.clone(),
        outcome: Some(control::settle_request::Outcome::Answer(
            vec![0; 1 << 20].into(),
        )),
    };
    assert!(client.settle(settle).await.unwrap().into_inner().recorded);
    let repeat = control::ClaimRequest {
        attempt: "b".to_owned(),
        ..request
    };
    let ran = client.claim(repeat).await.unwrap().into_inner();
    assert_eq!(ran.kind, Some(control::claim_reply::Kind::Ran(true)));
}

#[tokio::test]
async fn a_node_that_leaves_is_no_longer_listed() {
    let host = start().await;
    let mut entry = Node::attach(&host, "e1", "i1", control::Role::Entry).await;
    entry.next().await;
    let mut agent = Node::attach(&host, "a1", "i1", control::Role::Agent).await;
    agent.next().await;
    let leaving = control::Report {
        leaving: true,
        number: 2,
        ..control::Report::default()
    };
    agent.reports.send(leaving).await.unwrap();
    agent.next().await;
    drop(agent);
    let limit = time::Duration::from_secs(10);
    let told = tokio::time::timeout(limit, wait_for_leave(&mut entry, "a1"));
    told.await.expect("the entry is told");
}

async fn wait_for_leave(node: &mut Node, name: &str) {
    let left = Some(control::change::Kind::Left(name.to_owned()));
    loop {
        let update = node.next().await;
        let changes = update.delta.map_or_else(Vec::new, |delta| delta.changes);
        if changes.iter().any(|change| change.kind == left) {
            return;
        }
    }
}
