//! Choice of an upstream: excluded ones are never chosen, unreported requests count, and cached
//! prefixes are preferred.

use peargap_core::selection;
use peargap_core::table;
use peargap_core::time;
use rand::RngExt as _;
use rand::SeedableRng as _;

const NOW: time::Instant = time::Instant(10_000);

fn report() -> table::Report {
    table::Report {
        accepting: true,
        age_ms: 200,
        limit: 20,
        memory_tokens: 50_000,
        ..table::Report::default()
    }
}

struct Fleet {
    domains: Vec<table::Domain>,
    group: table::Group,
    table: table::Table,
    upstreams: Vec<table::Upstream>,
}

fn fleet(count: usize) -> Fleet {
    let mut table = table::Table::new();
    let group = table.group("model");
    let domains: Vec<table::Domain> = (0..4).map(|n| table.domain(&n.to_string())).collect();
    let upstreams = (0..count).map(|n| table.announce(domains[n % 4], &[group]));
    let upstreams: Vec<table::Upstream> = upstreams.collect();
    for upstream in &upstreams {
        table.record_report(NOW, *upstream, report());
    }
    Fleet {
        domains,
        group,
        table,
        upstreams,
    }
}

fn pick(fleet: &Fleet, avoid: &[table::Upstream], prefix: &[u64], seed: u64) -> selection::Choice {
    let mut random = rand::rngs::SmallRng::seed_from_u64(seed);
    let query = selection::Query {
        avoid,
        deadline: time::Instant(60_000),
        group: fleet.group,
        prefix,
        prompt_tokens: 1000,
    };
    selection::pick_upstream(&fleet.table, NOW, &query, &mut random, &mut Vec::new())
}

#[test]
fn upstreams_that_are_out_avoided_failing_or_silent_are_not_chosen() {
    for seed in 0..200 {
        let mut random = rand::rngs::SmallRng::seed_from_u64(seed);
        let mut fleet = fleet(12);
        fleet
            .table
            .set_domain_out(fleet.domains[random.random_range(0..4)], true);
        let mut avoid = Vec::new();
        for index in 0..12 {
            let upstream = fleet.upstreams[index];
            match random.random_range(0..6) {
                0 => fleet.table.set_out(upstream, true),
                1 => fleet
                    .table
                    .record_report(NOW, upstream, table::Report::default()),
                2 => (0..3).for_each(|_| fleet.table.record_failure(NOW, upstream)),
                3 => avoid.push(upstream),
                _ => continue,
            }
            avoid.push(upstream);
        }
        let choice = pick(&fleet, &avoid, &[], seed);
        if let selection::Choice::Chosen { upstream, .. } = choice {
            assert!(!avoid.contains(&upstream), "seed {seed}");
            let view = fleet
                .table
                .view(NOW, upstream)
                .expect("upstream accepts work");
            assert!(view.report.accepting);
        }
    }
}

#[test]
fn the_only_upstream_that_accepts_work_is_found() {
    for seed in 0..100 {
        let mut fleet = fleet(1000);
        for upstream in fleet.upstreams.iter().skip(1) {
            fleet.table.set_out(*upstream, true);
        }
        let choice = pick(&fleet, &[], &[], seed);
        let selection::Choice::Chosen { upstream, why } = choice else {
            panic!("{choice:?}");
        };
        assert_eq!(upstream, fleet.upstreams[0]);
        assert_eq!(why, selection::Reason::Only);
    }
}

#[test]
fn sent_requests_count_until_a_report_includes_them() {
    let mut fleet = fleet(8);
    let mut counts = vec![0; 8];
    for seed in 0..160 {
        let selection::Choice::Chosen { upstream, .. } = pick(&fleet, &[], &[], seed) else {
            panic!("every upstream accepts work");
        };
        let index = fleet.upstreams.iter().position(|other| *other == upstream);
        counts[index.expect("the chosen upstream is known")] += 1;
        fleet.table.record_send(NOW, upstream, 1000);
    }
    assert!(
        counts.iter().all(|count| (12..=28).contains(count)),
        "{counts:?}"
    );
    let later = time::Instant(NOW.0 + 1000);
    fleet
        .table
        .record_report(later, fleet.upstreams[0], report());
    let view = fleet
        .table
        .view(later, fleet.upstreams[0])
        .expect("upstream accepts work");
    assert_eq!(view.sent, 0);
}

#[test]
fn a_cached_prefix_is_preferred_until_its_holder_is_full() {
    let mut fleet = fleet(8);
    let prefix: Vec<u64> = (1..=12).collect();
    let holder = fleet.upstreams[5];
    fleet.table.set_prefixes(holder, &prefix);
    let choice = pick(&fleet, &[], &prefix, 1);
    let selection::Choice::Chosen { upstream, why } = choice else {
        panic!("{choice:?}");
    };
    assert_eq!((upstream, why), (holder, selection::Reason::Prefix));
    let full = table::Report {
        running: 20,
        queued: 5,
        wait_ms: 3000,
        ..report()
    };
    fleet.table.record_report(NOW, holder, full);
    let choice = pick(&fleet, &[], &prefix, 1);
    assert!(matches!(choice, selection::Choice::Chosen { upstream, .. } if upstream != holder));
}

#[test]
fn a_choice_of_none_has_a_retry_time() {
    let mut fleet = fleet(4);
    for domain in fleet.domains.clone() {
        fleet.table.set_domain_out(domain, true);
    }
    assert!(matches!(
        pick(&fleet, &[], &[], 1),
        selection::Choice::None {
            retry_after_ms: 1..
        }
    ));
}
