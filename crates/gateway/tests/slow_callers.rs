//! Callers that read slowly or not at all: their answers are read on from the upstream, within a
//! budget of memory, and other callers get theirs as before.

mod support;

use std::time;

use support::slow;
use support::Fixture;

/// Events of an answer that is longer than what the buffers of the system take.
const MANY_EVENTS: u64 = 1 << 10;
/// Callers that read a piece of 1 KB each second, and the rest at once after a time.
const SLOW_CALLERS: usize = 500;
const SLOW_EVENTS: u64 = 4;
const SLOW_PIECES: usize = 12;
/// Callers that read nothing, whose answers together are more than the host's memory.
const STALLED_CALLERS: usize = 50;
const STALLED_EVENTS: u64 = 256;

#[tokio::test]
async fn an_answer_is_read_on_while_its_caller_reads_nothing() {
    let engine = slow::Engine::start().await;
    let fixture = Fixture::start_at(engine.address, "pool").await;
    let mut caller = slow::connect(fixture.address).await;
    slow::request(&mut caller, MANY_EVENTS).await;
    tokio::time::sleep(slow::UNREAD_TIMEOUT * 4).await;
    assert_eq!(engine.count_cut_off(), 0, "the engine cut the answer off");
    let answer = slow::read(&mut caller, 0, time::Duration::ZERO).await;
    let events = usize::try_from(MANY_EVENTS).expect("few");
    assert_eq!(answer, slow::Answer::Complete(events));
}

/// Starts callers that read a piece after each `interval`, each once the answer to the one before
/// has begun, so that the engine has room for all; returns what they got.
async fn start_callers(
    fixture: &Fixture,
    callers: usize,
    events: u64,
    interval: time::Duration,
) -> Vec<tokio::task::JoinHandle<slow::Answer>> {
    let mut started = Vec::new();
    for _caller in 0..callers {
        let mut caller = slow::connect(fixture.address).await;
        slow::request(&mut caller, events).await;
        caller.peek(&mut [0]).await.expect("an answer");
        started.push(tokio::spawn(async move {
            slow::read(&mut caller, SLOW_PIECES, interval).await
        }));
    }
    started
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slow_callers_take_neither_the_memory_nor_the_time_of_others() {
    let engine = slow::Engine::start().await;
    let mut fixture = Fixture::start_program().await;
    fixture.announce_at(engine.address, "pool").await;
    fixture.start_runner("d1").await;
    let alone = slow::Times::measure(&fixture, 100).await;
    let hour = time::Duration::from_secs(3600);
    let second = time::Duration::from_secs(1);
    let starting = async {
        let stalled = start_callers(&fixture, STALLED_CALLERS, STALLED_EVENTS, hour).await;
        let slow = start_callers(&fixture, SLOW_CALLERS, SLOW_EVENTS, second).await;
        (stalled, slow)
    };
    let ((stalled, slow), beside) = tokio::join!(starting, slow::Times::measure(&fixture, 400));
    let expected = usize::try_from(SLOW_EVENTS).expect("few");
    for caller in slow {
        let answer = caller.await.expect("a caller");
        assert_eq!(answer, slow::Answer::Complete(expected));
    }
    assert_eq!(engine.count_cut_off(), 0);
    fixture.program.as_ref().expect("a program").assert_peak();
    beside.assert_unchanged(alone);
    for caller in stalled {
        caller.abort();
    }
}
