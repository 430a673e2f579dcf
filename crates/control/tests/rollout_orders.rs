//! Orders of rollouts in the replicated state machine: replicas agree, snapshots lose nothing, and
//! snapshots from before the first rollout are read.

use bytes::Bytes;
use peargap_control::state_machine;
use peargap_wire::operator;
use peargap_wire::record;
use prost::Message as _;
use quickcheck::Arbitrary as _;

const RUNS: u64 = 100;

fn choose(random: &mut quickcheck::Gen, names: &[&str]) -> String {
    (*random.choose(names).expect("names")).to_owned()
}

fn build_command(random: &mut quickcheck::Gen, index: u64) -> Bytes {
    let service = choose(random, &["a", "b"]);
    let order = index.saturating_sub(u64::arbitrary(random) % 6);
    let kind = match u64::arbitrary(random) % 4 {
        0 => record::command::Kind::StartRollout(operator::StartRollout {
            duration_ms: u64::arbitrary(random) % 3,
            id: choose(random, &["", "x", "y"]),
            service,
            target: choose(random, &["v1", "v2", "v3"]),
        }),
        1 => record::command::Kind::AdvanceRollout(record::AdvanceRollout {
            elapsed_ms: u64::arbitrary(random),
            order,
            service,
            share_ppm: u32::arbitrary(random),
        }),
        2 => record::command::Kind::EndRollout(record::EndRollout {
            order,
            service,
            state: i32::from(u8::arbitrary(random) % 5),
        }),
        _ => record::command::Kind::ReadRollout(service),
    };
    let command = record::Command { kind: Some(kind) };
    command.encode_to_vec().into()
}

#[test]
fn replicas_agree_and_snapshots_lose_nothing() {
    for seed in 0..RUNS {
        let random = &mut quickcheck::Gen::from_size_and_seed(40, seed);
        let mut first = state_machine::StateMachine::new();
        let mut second = state_machine::StateMachine::new();
        for index in 1..100 {
            let command = build_command(random, index);
            let reply = first.apply(index, &command);
            assert_eq!(
                reply,
                second.apply(index, &command),
                "seed {seed} index {index}"
            );
            let snapshot = second.snapshot();
            second = state_machine::StateMachine::restore(&snapshot).expect("a snapshot");
            assert_eq!(first, second, "seed {seed} index {index}");
        }
    }
}

#[test]
fn a_snapshot_from_before_the_first_rollout_is_read() {
    let machine = state_machine::StateMachine::new();
    let snapshot = record::Snapshot::decode(machine.snapshot()).expect("a snapshot");
    let routing = snapshot.routing.expect("routing");
    assert!(routing.rollouts.is_empty() && routing.rollouts_revision == 0);
    let former = record::Snapshot::default().encode_to_vec();
    let read = state_machine::StateMachine::restore(&former.into()).expect("a snapshot");
    assert_eq!(read, machine);
}
