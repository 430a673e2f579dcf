//! The fetch state machine reports each generation's end correctly for any sequence of events.

use core::time::Duration;

use peargap_core::fetch;
use peargap_core::time;
use quickcheck::Arbitrary;
use quickcheck::Gen;

const CASES: u64 = 5_000;
const WINDOW: Duration = Duration::from_millis(100);

/// An event after some milliseconds.
#[derive(Clone, Copy, Debug)]
struct TimedEvent {
    after_ms: u64,
    event: fetch::Event,
}

impl Arbitrary for TimedEvent {
    fn arbitrary(random: &mut Gen) -> TimedEvent {
        let refusals = [
            fetch::Refusal::Busy,
            fetch::Refusal::Error,
            fetch::Refusal::Invalid,
            fetch::Refusal::NotFound,
        ];
        let events = [
            fetch::Event::Completed,
            fetch::Event::Failed,
            fetch::Event::Gone,
            fetch::Event::LastToken,
            fetch::Event::Lost,
            fetch::Event::Lost,
            fetch::Event::Opened,
            fetch::Event::Opened,
            fetch::Event::Refused(*random.choose(&refusals).unwrap()),
            fetch::Event::Unreachable,
        ];
        TimedEvent {
            after_ms: u64::from(u8::arbitrary(random) % 40),
            event: *random.choose(&events).unwrap(),
        }
    }
}

/// Returns whether the engine may have run the request if `event` is its first answer.
fn may_have_run(event: fetch::Event) -> bool {
    match event {
        fetch::Event::Gone | fetch::Event::Unreachable => false,
        fetch::Event::Refused(refusal) => refusal == fetch::Refusal::Error,
        fetch::Event::Completed
        | fetch::Event::Failed
        | fetch::Event::LastToken
        | fetch::Event::Lost
        | fetch::Event::Opened => true,
    }
}

fn check(events: &[TimedEvent]) {
    let mut machine = fetch::Fetch::new(WINDOW);
    let mut now = time::Instant::default();
    let (mut opened, mut last_token, mut completed) = (false, false, false);
    for (index, timed) in events.iter().enumerate() {
        let before = machine.next();
        now.0 += timed.after_ms;
        let next = machine.handle(now, timed.event);
        if let fetch::Next::End(_) = before {
            assert_eq!(next, before, "an end is final");
            continue;
        }
        opened |= timed.event == fetch::Event::Opened;
        let reading = before == fetch::Next::Read;
        last_token |= reading && timed.event == fetch::Event::LastToken;
        completed |= reading && timed.event == fetch::Event::Completed;
        assert!(next != fetch::Next::Start, "the request is sent twice");
        match next {
            fetch::Next::End(fetch::End::Complete) => assert!(last_token || completed),
            fetch::Next::End(fetch::End::Failed { ran, .. }) => {
                assert!(!last_token, "failed although the last token arrived");
                let may_have_run = may_have_run(events[0].event);
                assert_eq!(ran == fetch::Ran::No, index == 0 && !may_have_run);
                assert!(ran != fetch::Ran::Yes || opened);
            }
            fetch::Next::Read | fetch::Next::Resume | fetch::Next::Start => {}
        }
    }
}

#[test]
fn ends_are_correct_and_final() {
    for seed in 0..CASES {
        let mut random = Gen::from_size_and_seed(12, seed);
        let events = Vec::<TimedEvent>::arbitrary(&mut random);
        check(&events);
    }
}

#[test]
fn resuming_is_tried_for_the_window_only() {
    let mut machine = fetch::Fetch::new(WINDOW);
    machine.handle(time::Instant(0), fetch::Event::Opened);
    let lost = machine.handle(time::Instant(1_000), fetch::Event::Lost);
    assert_eq!(lost, fetch::Next::Resume);
    let lost = machine.handle(time::Instant(1_099), fetch::Event::Lost);
    assert_eq!(lost, fetch::Next::Resume);
    let failed = fetch::End::Failed {
        cause: fetch::Cause::Engine,
        ran: fetch::Ran::Yes,
    };
    let lost = machine.handle(time::Instant(1_100), fetch::Event::Lost);
    assert_eq!(lost, fetch::Next::End(failed));
}
