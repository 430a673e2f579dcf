//! Changes by operators and claims against real control processes that are killed and restarted.

mod support;

use futures::StreamExt as _;
use peargap_adapters::digest;
use peargap_wire::control;
use peargap_wire::control::control_client;
use peargap_wire::fleet;
use peargap_wire::fleet::fleet_client;
use peargap_wire::operator;
use peargap_wire::operator::operator_client;
use peargap_wire::operator::submit_request;
use tokio::sync::mpsc;
use tokio_stream::wrappers;

const KEY: &str = "operators-example-key";
const MANIFEST: &str = "[deployment]\nname=d\n[domain a]\nregion=r\n[domain b]\nregion=r\n";

fn start() -> support::Cluster {
    let digest = digest::hash_key(KEY.as_bytes());
    let hex: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
    let cluster = support::Cluster::start(3, &format!("[operators]\nkey_sha256={hex}\n"));
    cluster.wait_for_leader();
    cluster
}

/// Kills all hosts, then starts them again.
fn restart(cluster: &mut support::Cluster) {
    for host in &mut cluster.hosts {
        host.kill();
    }
    for host in &mut cluster.hosts {
        host.start();
    }
    cluster.wait_for_leader();
}

fn add_key<T>(message: T) -> tonic::Request<T> {
    let mut request = tonic::Request::new(message);
    let value = format!("Bearer {KEY}").parse().unwrap();
    request.metadata_mut().insert("authorization", value);
    request
}

/// Submits a change to a host; returns `None` without an answer.
async fn submit(
    host: &support::Host,
    id: &str,
    change: submit_request::Change,
) -> Option<operator::submit_reply::Kind> {
    let address = format!("http://{}", host.operators);
    let mut client = operator_client::OperatorClient::connect(address)
        .await
        .ok()?;
    let request = operator::SubmitRequest {
        base_revision: 0,
        change: Some(change),
        id: id.to_owned(),
        operator: format!("operator of {id}"),
    };
    let reply = client.submit(add_key(request)).await.ok()?;
    match reply.into_inner().kind? {
        operator::submit_reply::Kind::Unavailable(_) => None,
        kind => Some(kind),
    }
}

/// Submits the same change until the host answers.
fn submit_until_answered(
    host: &support::Host,
    id: &str,
    change: &submit_request::Change,
) -> operator::submit_reply::Kind {
    let mut answer = None;
    support::wait_until("an answer to a change", || {
        answer = support::block_on(submit(host, id, change.clone()));
        answer.is_some()
    });
    answer.unwrap()
}

fn manifest(note: &str) -> submit_request::Change {
    submit_request::Change::Manifest(format!("; {note}\n{MANIFEST}").into())
}

#[test]
fn one_of_three_concurrent_changes_wins_and_resends_get_the_same_answers() {
    let mut cluster = start();
    let hosts = &cluster.hosts;
    let answers = support::block_on(async {
        futures::future::join_all([
            submit(&hosts[0], "x0", manifest("0")),
            submit(&hosts[1], "x1", manifest("1")),
            submit(&hosts[2], "x2", manifest("2")),
        ])
        .await
    });
    let winner = answers
        .iter()
        .position(|answer| matches!(answer, Some(operator::submit_reply::Kind::Accepted(_))))
        .unwrap();
    for (index, answer) in answers
        .iter()
        .enumerate()
        .filter(|(index, _)| *index != winner)
    {
        let Some(operator::submit_reply::Kind::Conflict(conflict)) = answer else {
            panic!("{index}: {answer:?}");
        };
        assert_eq!(conflict.winner_id, format!("x{winner}"));
        assert_eq!(conflict.winner_operator, format!("operator of x{winner}"));
    }
    restart(&mut cluster);
    for (index, first) in answers.iter().enumerate() {
        let other = &cluster.hosts[(index + 1) % 3];
        let change = manifest(&index.to_string());
        let again = submit_until_answered(other, &format!("x{index}"), &change);
        match (first, again) {
            (
                Some(operator::submit_reply::Kind::Accepted(first)),
                operator::submit_reply::Kind::Accepted(again),
            ) => {
                assert!(again.repeated);
                assert_eq!(again.version, first.version);
            }
            (Some(first), again) => assert_eq!(*first, again),
            (None, _) => panic!("{index}: no answer"),
        }
    }
}

#[test]
fn a_resend_after_many_changes_and_a_leader_crash_has_no_effect() {
    let mut cluster = start();
    submit_until_answered(&cluster.hosts[0], "m", &manifest("0"));
    let out = submit_request::Change::DomainOut("a".to_owned());
    let first = submit_until_answered(&cluster.hosts[0], "first", &out);
    let operator::submit_reply::Kind::Accepted(first) = first else {
        panic!("{first:?}");
    };
    for index in 0..200 {
        let change = match index % 2 {
            0 => submit_request::Change::DomainBack("a".to_owned()),
            _ => submit_request::Change::DomainOut("a".to_owned()),
        };
        submit_until_answered(&cluster.hosts[index % 3], &format!("c{index}"), &change);
    }
    let leader = cluster.wait_for_leader();
    cluster.hosts[leader].kill();
    let other = &cluster.hosts[(leader + 1) % 3];
    let again = submit_until_answered(other, "first", &out);
    let expected = operator::Accepted {
        repeated: true,
        ..first
    };
    assert_eq!(again, operator::submit_reply::Kind::Accepted(expected));
}

async fn claim(host: &support::Host, attempt: &str) -> Option<control::claim_reply::Kind> {
    let address = format!("http://{}", host.internal);
    let mut client = control_client::ControlClient::connect(address).await.ok()?;
    let request = control::ClaimRequest {
        attempt: attempt.to_owned(),
        deadline_ms: 60_000,
        digest: 7,
        key: "team/loans/k".to_owned(),
    };
    match client.claim(request).await.ok()?.into_inner().kind? {
        control::claim_reply::Kind::Unavailable(_) => None,
        kind => Some(kind),
    }
}

fn claim_until_answered(host: &support::Host, attempt: &str) -> control::claim_reply::Kind {
    let mut answer = None;
    support::wait_until("an answer to a claim", || {
        answer = support::block_on(claim(host, attempt));
        answer.is_some()
    });
    answer.unwrap()
}

async fn settle(host: &support::Host, fence: u64) -> Option<bool> {
    let address = format!("http://{}", host.internal);
    let mut client = control_client::ControlClient::connect(address).await.ok()?;
    let request = control::SettleRequest {
        fence,
        key: "team/loans/k".to_owned(),
        outcome: Some(control::settle_request::Outcome::Answer("done".into())),
    };
    Some(client.settle(request).await.ok()?.into_inner().recorded)
}

#[test]
fn a_claim_and_its_answer_survive_a_crash_of_all_hosts() {
    let mut cluster = start();
    let granted = claim_until_answered(&cluster.hosts[0], "a");
    let control::claim_reply::Kind::Granted(fence) = granted else {
        panic!("{granted:?}");
    };
    restart(&mut cluster);
    let waiting = claim_until_answered(&cluster.hosts[1], "b");
    assert!(
        matches!(waiting, control::claim_reply::Kind::InProgress(_)),
        "{waiting:?}"
    );
    assert_eq!(claim_until_answered(&cluster.hosts[2], "a"), granted);
    support::wait_until("a settlement", || {
        support::block_on(settle(&cluster.hosts[1], fence)) == Some(true)
    });
    restart(&mut cluster);
    let answer = control::claim_reply::Kind::Answer("done".into());
    assert_eq!(claim_until_answered(&cluster.hosts[0], "c"), answer);
}

fn part_name(part: u64) -> operator::Name {
    operator::Name {
        kind: Some(operator::name::Kind::Part(part)),
    }
}

/// Tells a host, as a gateway does, of a part on which three engines ended; returns the link.
async fn tell_evidence(host: &support::Host) -> mpsc::Sender<fleet::Report> {
    let address = format!("http://{}", host.internal);
    let mut client = fleet_client::FleetClient::connect(address)
        .await
        .expect("a host");
    let (reports, outgoing) = mpsc::channel(4);
    let report = fleet::Report {
        evidence: vec![fleet::Evidence {
            losses: vec![1, 2, 3],
            moments: 3,
            subject: Some(fleet::Subject {
                kind: Some(fleet::subject::Kind::Part(fleet::Part {
                    id: 0xdead,
                    model: 5,
                })),
            }),
            ..fleet::Evidence::default()
        }],
        gateway: "g".to_owned(),
        ..fleet::Report::default()
    };
    reports.send(report).await.expect("a link");
    let updates = client.follow(wrappers::ReceiverStream::new(outgoing)).await;
    let mut updates = updates.expect("a link").into_inner();
    let told = async {
        while let Some(Ok(update)) = updates.next().await {
            if !update.evidence.is_empty() {
                return;
            }
        }
    };
    let told = tokio::time::timeout(core::time::Duration::from_secs(10), told).await;
    told.expect("the evidence comes back");
    reports
}

#[tokio::test]
async fn an_operator_lists_a_quarantined_part_and_releases_it() {
    let cluster = start();
    let host = &cluster.hosts[0];
    let _link = tell_evidence(host).await;
    let address = format!("http://{}", host.operators);
    let client = operator_client::OperatorClient::connect(address).await;
    let mut client = client.expect("a host");
    let refused = client.quarantine(operator::QuarantineRequest {}).await;
    assert_eq!(
        refused.expect_err("no key").code(),
        tonic::Code::Unauthenticated
    );
    let listed = client
        .quarantine(add_key(operator::QuarantineRequest {}))
        .await;
    let suspects = listed.expect("an answer").into_inner().suspects;
    assert_eq!(suspects.len(), 1);
    assert!(suspects[0].quarantined);
    assert_eq!(suspects[0].name, Some(part_name(0xdead)));
    assert_eq!((suspects[0].model, suspects[0].losses), (5, 3));
    let release = |part| {
        add_key(operator::ReleaseRequest {
            name: Some(part_name(part)),
            operator: "ana".to_owned(),
        })
    };
    let nothing = add_key(operator::ReleaseRequest::default());
    let refused = client.release(nothing).await.expect_err("no name");
    assert_eq!(refused.code(), tonic::Code::InvalidArgument);
    let unknown = client.release(release(7)).await.expect("an answer");
    assert!(unknown.into_inner().cleared.is_empty());
    let released = client.release(release(0xdead)).await.expect("an answer");
    assert_eq!(released.into_inner().cleared, [part_name(0xdead)]);
    let listed = client
        .quarantine(add_key(operator::QuarantineRequest {}))
        .await;
    assert!(listed.expect("an answer").into_inner().suspects.is_empty());
}
