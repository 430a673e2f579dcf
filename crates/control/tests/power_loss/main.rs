//! What a data folder holds after kills, losses of power and spells of a full disk, in random series.

mod full_in_turn;
mod volume;

use std::path;
use std::sync;

use bytes::Bytes;
use peargap_control::disk;
use peargap_control::files;
use peargap_core::log::effect;
use peargap_core::log::entry;
use peargap_core::log::member;
use rand::rngs;
use rand::RngExt as _;
use rand::SeedableRng as _;

const CALLS_BEFORE_SET_ASIDE: usize = 8;
const FOLDER: &str = "/data";
const LIMITS: disk::Limits = disk::Limits {
    max_bytes: 1 << 20,
    reserve_bytes: 16 << 10,
};
/// Operations on files after which a process is killed, at most.
const MAX_OPERATIONS: u64 = 60;
/// Attempts after which a full disk has room again.
const MAX_FULL_ATTEMPTS: usize = 3;
/// Operations of a call after which the disk is full, at most.
const MAX_OPERATIONS_BEFORE_FULL: u64 = 8;
const PROCESSES: usize = 12;
const SEEDS: u64 = 2000;

/// What a folder holds.
#[derive(Clone, Debug, Eq, PartialEq)]
struct State {
    entries: Vec<entry::Entry>,
    hard: effect::Hard,
    snapshot: entry::Snapshot,
}

impl State {
    fn last(&self) -> u64 {
        let entry = self.entries.last();
        entry.map_or(self.snapshot.position.index, |entry| entry.position.index)
    }

    fn truncate(&mut self, first: u64) {
        self.entries.retain(|entry| entry.position.index < first);
    }
}

/// A call of the replica thread.
#[derive(Clone, Debug)]
enum Call {
    AllocateReserve,
    SaveEntries(Vec<entry::Entry>),
    SaveHard(effect::Hard),
    SaveSnapshot {
        reset: bool,
        snapshot: entry::Snapshot,
    },
}

/// Which faults a play has.
#[derive(Clone, Copy, Debug)]
struct Faults {
    full_disk: bool,
    power: bool,
}

/// One play.
#[derive(Debug)]
struct Play {
    /// States that the folder may hold: the one acknowledged, and those that a call that did not end
    /// leads to.
    allowed: Vec<State>,
    faults: Faults,
    random: rngs::StdRng,
    seed: u64,
    term: u64,
    volume: volume::Simulated,
}

impl Play {
    fn new(seed: u64, faults: Faults) -> Play {
        let empty = State {
            entries: Vec::new(),
            hard: effect::Hard::default(),
            snapshot: entry::Snapshot::default(),
        };
        Play {
            allowed: vec![empty],
            faults,
            random: rngs::StdRng::seed_from_u64(seed),
            seed,
            term: 1,
            volume: volume::Simulated::new(seed),
        }
    }

    fn run(&mut self) {
        for _process in 0..PROCESSES {
            let operations = self.random.random_range(1..=MAX_OPERATIONS);
            self.volume.kill_after(Some(operations));
            self.run_process();
            if self.faults.power && self.random.random_bool(0.4) {
                self.volume.lose_power();
            }
        }
        self.volume.kill_after(None);
        self.volume.fill_after(0, volume::Full::default());
        assert!(self.open().is_some(), "seed {}: no start", self.seed);
    }

    /// Runs a process until it is killed.
    fn run_process(&mut self) {
        self.draw_room();
        let Some((mut disk, mut state)) = self.open() else {
            return;
        };
        while !self.volume.is_killed() {
            let call = self.draw_call(&state);
            self.allowed = list_states(&state, &call);
            if !self.carry_out(&mut disk, &call) {
                return;
            }
            state = self.allowed.pop().expect("a state");
            self.allowed = vec![state.clone()];
        }
    }

    /// Runs a process that makes some calls, and sets its disk aside; it may be killed meanwhile.
    fn set_aside(&mut self) {
        let (mut disk, mut state) = self.open().expect("a disk");
        for _call in 0..CALLS_BEFORE_SET_ASIDE {
            let call = self.draw_call(&state);
            self.carry_out(&mut disk, &call);
            state = list_states(&state, &call).pop().expect("a state");
        }
        let operations = self.random.random_range(1..=MAX_OPERATIONS);
        self.volume.kill_after(Some(operations));
        let result = disk.set_aside();
        assert!(result.is_ok() || self.volume.is_killed(), "{result:?}");
        self.volume.lose_power();
        self.volume.kill_after(None);
    }

    /// Starts a process; `None` if it was killed meanwhile, or could not start on a full disk.
    fn open(&mut self) -> Option<(disk::Disk, State)> {
        let name = Bytes::from_static(b"a");
        let shared = sync::Arc::new(self.volume.clone());
        let opened = disk::Disk::open_on(shared, path::Path::new(FOLDER), &name, 7, LIMITS);
        let (disk, recovered) = match opened {
            Ok(opened) => opened,
            Err(_error) if self.volume.is_killed() => return None,
            Err(files::Error::Full) => return None,
            Err(error) => panic!("seed {}: {error}", self.seed),
        };
        let base = recovered.store.snapshot().position.index;
        let last = recovered.store.last().index;
        let entries = (base + 1..=last).filter_map(|index| recovered.store.entry(index).cloned());
        let state = State {
            entries: entries.collect(),
            hard: recovered.hard,
            snapshot: recovered.store.snapshot().clone(),
        };
        let is_allowed = self.allowed.contains(&state);
        assert!(
            is_allowed,
            "seed {}: {state:?} is none of {:?}",
            self.seed, self.allowed
        );
        self.allowed = vec![state.clone()];
        Some((disk, state))
    }

    /// Carries out a call, again while the disk is full. Returns whether it ended.
    fn carry_out(&mut self, disk: &mut disk::Disk, call: &Call) -> bool {
        self.draw_room();
        for attempt in 0.. {
            if attempt == MAX_FULL_ATTEMPTS {
                self.volume.fill_after(0, volume::Full::default());
            }
            let result = match call {
                Call::AllocateReserve => {
                    disk.allocate_reserve();
                    Ok(())
                }
                Call::SaveEntries(entries) => disk.save_entries(entries),
                Call::SaveHard(hard) => disk.save_hard(hard),
                Call::SaveSnapshot { reset, snapshot } => disk.save_snapshot(snapshot, *reset),
            };
            match result {
                Ok(()) => return true,
                Err(_error) if self.volume.is_killed() => return false,
                Err(files::Error::Full) => {}
                Err(error) => panic!("seed {}: {call:?}: {error}", self.seed),
            }
        }
        false
    }

    fn draw_room(&mut self) {
        let is_full = self.faults.full_disk && self.random.random_bool(0.3);
        let operations = self.random.random_range(0..=MAX_OPERATIONS_BEFORE_FULL);
        let full = volume::Full {
            new_files: is_full && self.random.random_bool(0.5),
            syncs: is_full && self.random.random_bool(0.5),
            writes: is_full,
        };
        self.volume.fill_after(operations, full);
    }

    fn draw_call(&mut self, state: &State) -> Call {
        match self.random.random_range(0..10) {
            0 => Call::AllocateReserve,
            1..=2 => {
                self.term += 1;
                Call::SaveHard(effect::Hard {
                    term: self.term,
                    ..state.hard.clone()
                })
            }
            3 => {
                let reset = self.random.random_bool(0.3);
                let above = if reset { 5 } else { 0 };
                let index = self
                    .random
                    .random_range(state.snapshot.position.index..=state.last() + above);
                Call::SaveSnapshot {
                    reset,
                    snapshot: entry::Snapshot {
                        data: Bytes::from(format!("state at {index}")),
                        position: entry::Position {
                            term: self.term,
                            index,
                        },
                        roster: member::Roster::default(),
                    },
                }
            }
            _ => {
                let base = state.snapshot.position.index;
                let first = match self.random.random_bool(0.2) {
                    true => self.random.random_range(base + 1..=state.last() + 1),
                    false => state.last() + 1,
                };
                let count = self.random.random_range(1..=3);
                Call::SaveEntries(
                    (first..first + count)
                        .map(|index| self.entry(index))
                        .collect(),
                )
            }
        }
    }

    fn entry(&self, index: u64) -> entry::Entry {
        entry::Entry {
            payload: entry::Payload::Command(Bytes::from(format!("{index} of {}", self.term))),
            position: entry::Position {
                term: self.term,
                index,
            },
        }
    }
}

/// Returns the states that a call may leave; the last one is that after its end.
fn list_states(state: &State, call: &Call) -> Vec<State> {
    let mut states = vec![state.clone()];
    let mut next = state.clone();
    match call {
        Call::AllocateReserve => {}
        Call::SaveHard(hard) => {
            next.hard = hard.clone();
            states.push(next);
        }
        Call::SaveEntries(entries) => {
            for entry in entries {
                next.truncate(entry.position.index);
                next.entries.push(entry.clone());
                states.push(next.clone());
            }
        }
        Call::SaveSnapshot { reset, snapshot } => {
            let index = snapshot.position.index;
            if *reset {
                next.truncate(index + 1);
                states.push(next.clone());
            }
            next.snapshot = snapshot.clone();
            next.entries.retain(|entry| entry.position.index > index);
            states.push(next);
        }
    }
    states
}

fn play_all(faults: Faults) {
    for seed in 0..SEEDS {
        Play::new(seed, faults).run();
    }
}

#[test]
fn what_a_start_has_read_outlasts_a_loss_of_power() {
    play_all(Faults {
        full_disk: false,
        power: true,
    });
}

#[test]
fn a_disk_that_was_full_is_usable_again() {
    play_all(Faults {
        full_disk: true,
        power: false,
    });
}

#[test]
fn a_disk_that_was_full_outlasts_a_loss_of_power() {
    play_all(Faults {
        full_disk: true,
        power: true,
    });
}

#[test]
fn a_disk_that_was_being_set_aside_can_be_started_on() {
    let faults = Faults {
        full_disk: false,
        power: true,
    };
    for seed in 0..SEEDS {
        let mut play = Play::new(seed, faults);
        play.set_aside();
        let name = Bytes::from_static(b"a");
        let shared = sync::Arc::new(play.volume.clone());
        let opened = disk::Disk::open_on(shared, path::Path::new(FOLDER), &name, 8, LIMITS);
        assert!(opened.is_ok(), "seed {seed}: {opened:?}");
    }
}
