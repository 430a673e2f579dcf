//! The replicated state machine: replicas that apply the same commands, valid or not, reach the
//! same state, and a snapshot restores it completely.

use bytes::Bytes;
use peargap_control::state_machine;
use peargap_wire::control;
use peargap_wire::operator;
use peargap_wire::operator::submit_request;
use peargap_wire::record;
use prost::Message as _;
use quickcheck::Arbitrary as _;

const RUNS: u64 = 100;
const SIZE: usize = 40;

fn generator(seed: u64) -> quickcheck::Gen {
    quickcheck::Gen::from_size_and_seed(SIZE, seed)
}

/// Returns one of a few names, so that random commands refer to the same items.
fn name(random: &mut quickcheck::Gen) -> String {
    (*random.choose(&["a", "b", "c", "d"]).unwrap()).to_owned()
}

fn number(random: &mut quickcheck::Gen) -> u64 {
    u64::arbitrary(random) % 64
}

fn build_submit(random: &mut quickcheck::Gen) -> operator::SubmitRequest {
    let text = format!(
        "[deployment]\nname={}\n[domain a]\nregion=r\n",
        name(random)
    );
    let change = match number(random) % 5 {
        0 => submit_request::Change::DomainBack(name(random)),
        1 => submit_request::Change::DomainOut(name(random)),
        2 => submit_request::Change::UpstreamDrain(name(random)),
        3 => submit_request::Change::UpstreamResume(name(random)),
        _ => submit_request::Change::Manifest(text.into()),
    };
    operator::SubmitRequest {
        base_revision: number(random) % 4,
        change: Some(change),
        id: format!("{}{}", name(random), number(random)),
        operator: name(random),
    }
}

fn build_announce(random: &mut quickcheck::Gen) -> record::Announce {
    let announcement = control::Announcement {
        checks_fences: bool::arbitrary(random),
        kind: i32::from(bool::arbitrary(random)),
        memory_tokens: number(random),
        offers: vec![name(random)],
        upstream: name(random),
    };
    record::Announce {
        announcement: bool::arbitrary(random).then_some(announcement),
        node: Some(control::Node {
            address: name(random),
            domain: name(random),
            incarnation: name(random),
            name: name(random),
            role: i32::try_from(number(random) % 3).unwrap(),
        }),
    }
}

fn build_settle(random: &mut quickcheck::Gen) -> control::SettleRequest {
    let outcome = match number(random) % 4 {
        0 => Some(control::settle_request::Outcome::Answer(
            name(random).into(),
        )),
        1 => Some(control::settle_request::Outcome::NotRun(true)),
        2 => Some(control::settle_request::Outcome::Unknown(true)),
        _ => None,
    };
    control::SettleRequest {
        fence: number(random),
        key: name(random),
        outcome,
    }
}

fn build_command(random: &mut quickcheck::Gen) -> Bytes {
    let kind = match number(random) % 9 {
        0 => record::command::Kind::Submit(build_submit(random)),
        1 => record::command::Kind::Announce(build_announce(random)),
        2 => record::command::Kind::Leave(record::Leave {
            incarnation: name(random),
            name: name(random),
        }),
        3 => record::command::Kind::Claim(control::ClaimRequest {
            attempt: name(random),
            deadline_ms: u32::arbitrary(random) % 10_000,
            digest: number(random) % 2,
            key: name(random),
        }),
        4 => record::command::Kind::Settle(build_settle(random)),
        5 => record::command::Kind::Tick(record::Tick {
            elapsed_ms: u32::arbitrary(random),
            number: number(random) % 8,
        }),
        6 => record::command::Kind::Assign(record::Assign {
            base_version: number(random) % 16,
            placements: vec![record::Placement {
                models: vec![name(random)],
                upstream: name(random),
            }],
        }),
        7 => record::command::Kind::Shift(record::Shift {
            domain: name(random),
            follows: Option::<u8>::arbitrary(random).map(u64::from),
            out: bool::arbitrary(random),
        }),
        _ => return Vec::<u8>::arbitrary(random).into(),
    };
    let command = record::Command { kind: Some(kind) };
    command.encode_to_vec().into()
}

#[test]
fn replicas_agree_and_snapshots_lose_nothing() {
    for seed in 0..RUNS {
        let random = &mut generator(seed);
        let mut first = state_machine::StateMachine::new();
        let mut second = state_machine::StateMachine::new();
        let mut version = 0;
        for index in 1..200 {
            let command = build_command(random);
            let reply = first.apply(index, &command);
            assert_eq!(
                reply,
                second.apply(index, &command),
                "seed {seed} index {index}"
            );
            if index % 16 == 0 {
                let snapshot = second.snapshot();
                second = state_machine::StateMachine::restore(&snapshot).unwrap();
                assert_eq!(second.snapshot(), snapshot, "seed {seed} index {index}");
            }
            assert!(first.config().version >= version);
            version = first.config().version;
        }
        assert_eq!(first, second, "seed {seed}");
    }
}

#[test]
fn arbitrary_bytes_cause_no_panic() {
    for seed in 0..RUNS * 20 {
        let random = &mut generator(seed);
        let bytes: Bytes = Vec::<u8>::arbitrary(random).into();
        state_machine::StateMachine::new().apply(1, &bytes);
        let _ = state_machine::StateMachine::restore(&bytes);
    }
}

fn submit(machine: &mut state_machine::StateMachine, index: u64, id: &str, out: &str) -> Bytes {
    let request = operator::SubmitRequest {
        base_revision: 0,
        change: Some(submit_request::Change::DomainOut(out.to_owned())),
        id: id.to_owned(),
        operator: "ada".to_owned(),
    };
    let kind = record::command::Kind::Submit(request);
    let command = record::Command { kind: Some(kind) };
    machine.apply(index, &command.encode_to_vec().into())
}

#[test]
fn a_repeated_id_gets_its_first_answer_after_many_changes_and_a_snapshot() {
    let mut machine = state_machine::StateMachine::new();
    let first = submit(&mut machine, 1, "first", "nowhere");
    for index in 2..1_000 {
        submit(&mut machine, index, &format!("id-{index}"), "nowhere");
    }
    let mut machine = state_machine::StateMachine::restore(&machine.snapshot()).unwrap();
    assert_eq!(submit(&mut machine, 1_000, "first", "nowhere"), first);
    let other = submit(&mut machine, 1_001, "first", "elsewhere");
    assert_ne!(other, first);
}

fn apply(
    machine: &mut state_machine::StateMachine,
    index: u64,
    kind: record::command::Kind,
) -> Bytes {
    let command = record::Command { kind: Some(kind) };
    machine.apply(index, &command.encode_to_vec().into())
}

fn shift(machine: &mut state_machine::StateMachine, index: u64, out: bool, follows: u64) -> bool {
    let kind = record::command::Kind::Shift(record::Shift {
        domain: "a".to_owned(),
        follows: Some(follows),
        out,
    });
    let reply = record::Reply::decode(apply(machine, index, kind)).expect("a reply");
    match reply.kind {
        Some(record::reply::Kind::Shifted(shifted)) => shifted.applied,
        other => panic!("{other:?}"),
    }
}

/// Guards against an order that comes late, after a host has been restored from a snapshot, and undoes
/// one that was acknowledged meanwhile.
#[test]
fn an_overtaken_order_is_not_applied_after_a_snapshot_either() {
    let mut machine = state_machine::StateMachine::new();
    assert!(shift(&mut machine, 1, true, 0));
    assert!(shift(&mut machine, 2, false, 1));
    assert!(shift(&mut machine, 3, true, 2));
    let mut machine = state_machine::StateMachine::restore(&machine.snapshot()).unwrap();
    assert!(!shift(&mut machine, 4, false, 1));
    assert!(machine.routing().domains_out.contains("a"));
    assert!(shift(&mut machine, 5, false, 3));
}

#[test]
fn model_loads_stay_within_the_weight_store_rate() {
    let mut machine = state_machine::StateMachine::new();
    let text = "[deployment]\nname=d\n[domain a]\nregion=r\n[weights]\nloads_per_minute=2\n";
    let manifest = operator::SubmitRequest {
        base_revision: 0,
        change: Some(submit_request::Change::Manifest(text.into())),
        id: "m".to_owned(),
        operator: "ada".to_owned(),
    };
    apply(&mut machine, 1, record::command::Kind::Submit(manifest));
    let assign = |machine: &mut state_machine::StateMachine, index: u64| {
        let config = machine.config();
        let upstreams = ["u1", "u2", "u3"].into_iter();
        let unassigned = upstreams.filter(|upstream| !config.orders.contains_key(*upstream));
        let placements = unassigned.map(|upstream| record::Placement {
            models: vec!["m".to_owned()],
            upstream: upstream.to_owned(),
        });
        let assign = record::Assign {
            base_version: config.version,
            placements: placements.collect(),
        };
        apply(machine, index, record::command::Kind::Assign(assign));
        machine.config().orders.len()
    };
    assert_eq!(assign(&mut machine, 2), 2);
    assert_eq!(assign(&mut machine, 3), 2);
    for number in 1..=12 {
        let tick = record::Tick {
            elapsed_ms: 5_000,
            number,
        };
        apply(&mut machine, 3 + number, record::command::Kind::Tick(tick));
    }
    assert_eq!(assign(&mut machine, 20), 3);
    assert_eq!(machine.config().orders["u3"].fence, 20);
    assert_eq!(machine.config().orders["u1"].fence, 2);
}
