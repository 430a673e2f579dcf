//! Evidence of gateways on what crashes upstreams.

use std::fs;
use std::time;

use peargap_wire::fleet as wire;

use crate::cluster::Cluster;
use crate::document;
use crate::CONFIG;

const POLL_INTERVAL: time::Duration = time::Duration::from_millis(10);

fn deadly_part() -> wire::Subject {
    wire::Subject {
        kind: Some(wire::subject::Kind::Part(wire::Part {
            id: 0xdead,
            model: 5,
        })),
    }
}

/// Evidence that three engines ended as generations with a part began.
fn deadly_evidence() -> wire::Evidence {
    wire::Evidence {
        losses: vec![1, 2, 3],
        moments: 3,
        subject: Some(deadly_part()),
        ..wire::Evidence::default()
    }
}

#[tokio::test]
async fn evidence_on_prompt_parts_reaches_gateways_that_are_there_and_those_that_come() {
    let mut cluster = Cluster::prepare(3, &[]);
    cluster.start_all();
    cluster.call(0, 200, "PUT", CONFIG, &document(3, 900)).await;
    let reporting = cluster.follow(0).await;
    let mut other = cluster.follow(0).await;
    let report = wire::Report {
        evidence: vec![deadly_evidence()],
        ..wire::Report::default()
    };
    reporting.reports.send(report).await.expect("a link");
    let told = other.wait_for(|update| !update.evidence.is_empty()).await;
    assert_eq!(told.evidence, [deadly_evidence()]);
    let mut later = cluster.follow(0).await;
    let told = later.wait_for(|update| !update.evidence.is_empty()).await;
    assert_eq!(told.evidence, [deadly_evidence()]);
    // A generation that was written counts once, and is told on.
    let success = wire::Success {
        epoch: 0,
        subject: Some(deadly_part()),
    };
    let report = wire::Report {
        successes: vec![success],
        ..wire::Report::default()
    };
    reporting.reports.send(report).await.expect("a link");
    let told = other.wait_for(|update| !update.evidence.is_empty()).await;
    assert_eq!(told.evidence[0].successes, 1);
}

#[tokio::test]
async fn evidence_outlives_all_control_hosts_and_gateways() {
    let mut cluster = Cluster::prepare(3, &[]);
    cluster.start_all();
    cluster.call(0, 200, "PUT", CONFIG, &document(3, 900)).await;
    let reporting = cluster.follow(1).await;
    let mut other = cluster.follow(1).await;
    let report = wire::Report {
        evidence: vec![deadly_evidence(), lost_once()],
        ..wire::Report::default()
    };
    reporting.reports.send(report).await.expect("a link");
    other.wait_for(|update| !update.evidence.is_empty()).await;
    drop((reporting, other));
    cluster.wait_for_file(1, "quarantine").await;
    for host in 0..3 {
        cluster.kill(host);
    }
    cluster.start_all();
    cluster.call(1, 200, "PUT", CONFIG, &document(4, 900)).await;
    let mut later = cluster.follow(1).await;
    let told = later.wait_for(|update| !update.evidence.is_empty()).await;
    // A single loss says little and is not stored.
    assert_eq!(told.evidence, [deadly_evidence()]);
}

fn lost_once() -> wire::Evidence {
    wire::Evidence {
        losses: vec![4],
        moments: 1,
        subject: Some(wire::Subject {
            kind: Some(wire::subject::Kind::Request(vec![7; 16].into())),
        }),
        ..wire::Evidence::default()
    }
}

#[tokio::test]
async fn a_damaged_file_of_evidence_keeps_no_host_from_starting() {
    let mut cluster = Cluster::prepare(3, &[]);
    cluster.start_all();
    cluster.call(0, 200, "PUT", CONFIG, &document(3, 900)).await;
    cluster.kill(0);
    let path = cluster.folder(0).join("quarantine");
    fs::write(&path, "damaged").expect("a file");
    cluster.start(0);
    cluster.call(0, 200, "GET", CONFIG, "").await;
    let mut link = cluster.follow(0).await;
    let report = wire::Report {
        evidence: vec![deadly_evidence()],
        ..wire::Report::default()
    };
    link.reports.send(report).await.expect("a link");
    link.wait_for(|update| !update.evidence.is_empty()).await;
    while fs::read(&path).expect("a file") == b"damaged" {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
