//! Tests of survival curves, the memory forecast, the ramp and admission control, partly on random
//! sequences of events.

use peargap_core::admit;
use peargap_core::curve;
use peargap_core::queue;
use peargap_core::ramp;
use peargap_core::time;
use rand::RngExt as _;
use rand::SeedableRng as _;

const MEMORY_TOKENS: u64 = 20_000;
const NO_DEADLINE: time::Instant = time::Instant(u64::MAX);

fn admission(memory_tokens: u64) -> admit::Admission {
    admit::Admission::new(time::Instant(0), admit::Options::new(memory_tokens, 16, 64))
}

fn request(admission: &mut admit::Admission, prompt_tokens: u32) -> admit::Request {
    admit::Request {
        cached_tokens: 0,
        class: admission.class("model", "team"),
        deadline: NO_DEADLINE,
        max_tokens: 2048,
        priority: 1,
        prompt_tokens,
        team: admission.team("team", 1),
    }
}

#[test]
fn curves_fall_and_follow_what_was_seen() {
    let mut curves = curve::Curves::new();
    for round in 0..400 {
        let class = curves.class("model", "team");
        curves.record_growth(class, 0, 100 + round % 20);
        curves.record_end(class, 100 + round % 20);
    }
    let class = curves.class("model", "team");
    let mut last = 1.0;
    for tokens in 0..4000 {
        let survival = curves.survival(class, tokens);
        assert!((0.0..=last).contains(&survival), "{survival} at {tokens}");
        last = survival;
    }
    assert!(curves.survival(class, 60) > 0.85);
    assert!(curves.survival(class, 200) < 0.1);
    let mean = curves.mean(class, 4096);
    assert!((70.0..200.0).contains(&mean), "{mean}");
    assert!(curves.conditional_survival(class, 300, 100) <= 1.0);
}

#[test]
fn longer_answers_are_learned_before_they_end() {
    let mut curves = curve::Curves::new();
    for _ in 0..200 {
        let class = curves.class("model", "team");
        curves.record_growth(class, 0, 100);
        curves.record_end(class, 100);
    }
    let class = curves.class("model", "team");
    let before = curves.survival(class, 400);
    for _ in 0..60 {
        curves.record_growth(class, 0, 1000);
    }
    let class = curves.class("model", "team");
    assert!(curves.survival(class, 400) > before + 0.2);
}

#[test]
fn a_new_team_falls_back_on_its_model() {
    let mut curves = curve::Curves::new();
    for _ in 0..300 {
        let class = curves.class("model", "known");
        curves.record_growth(class, 0, 50);
        curves.record_end(class, 50);
    }
    let known = curves.class("model", "known");
    let new = curves.class("model", "new");
    assert!((curves.mean(new, 4096) - curves.mean(known, 4096)).abs() < 25.0);
}

#[test]
fn an_upstream_without_history_admits_and_refuses_only_what_cannot_fit() {
    let mut admission = admission(MEMORY_TOKENS);
    let small = request(&mut admission, 500);
    assert_eq!(
        admit::decide(&admission, time::Instant(0), &small),
        admit::Decision::Admit
    );
    let large = request(&mut admission, MEMORY_TOKENS as u32);
    let decision = admit::decide(&admission, time::Instant(0), &large);
    let reason = admit::Reason::TooLarge;
    assert_eq!(
        decision,
        admit::Decision::Refuse {
            reason,
            retry_after_ms: 0
        }
    );
}

/// Running streams of one random sequence, and the completions since the last reset of the ramp.
struct Simulation {
    admission: admit::Admission,
    running: Vec<(admit::Stream, time::Instant, u32)>,
    completions: u32,
    reset_at: time::Instant,
}

impl Simulation {
    fn step(&mut self, now: time::Instant, random: &mut rand::rngs::SmallRng) {
        match random.random_range(0..10) {
            0..4 => self.submit(now, random),
            4..7 => self.produce_tokens(now),
            7..9 => self.finish(now, random),
            _ if random.random_range(0..20) == 0 => {
                self.admission.record_sign(now, ramp::Sign::NewIncarnation);
                self.reset_at = now;
                self.completions = 0;
            }
            _ => {}
        }
    }

    fn submit(&mut self, now: time::Instant, random: &mut rand::rngs::SmallRng) {
        let request = request(&mut self.admission, random.random_range(10..2000));
        if admit::decide(&self.admission, now, &request) == admit::Decision::Admit {
            let stream = self.admission.start(now, request);
            self.running.push((stream, now, 0));
        }
        let unanswered = self
            .running
            .iter()
            .filter(|(_, _, produced)| *produced == 0)
            .count();
        assert!(unanswered <= ramp::UNANSWERED_LIMIT as usize);
        let since_reset = self
            .running
            .iter()
            .filter(|(_, started_at, _)| *started_at >= self.reset_at)
            .count();
        assert!(
            since_reset <= (ramp::START_LIMIT + self.completions) as usize,
            "{since_reset}"
        );
    }

    fn produce_tokens(&mut self, now: time::Instant) {
        for (stream, _, produced) in &mut self.running {
            *produced += 1;
            if self.admission.record_tokens(now, *stream, 1).is_some() {
                self.reset_at = now;
                self.completions = 0;
            }
        }
    }

    fn finish(&mut self, now: time::Instant, random: &mut rand::rngs::SmallRng) {
        if self.running.is_empty() {
            return;
        }
        let (stream, started_at, _) = self
            .running
            .swap_remove(random.random_range(0..self.running.len()));
        self.completions += u32::from(started_at >= self.reset_at);
        self.admission.finished(now, stream, admit::End::Completed);
    }
}

#[test]
fn the_ramp_allows_at_most_one_more_stream_per_completion() {
    for seed in 0..50 {
        let mut random = rand::rngs::SmallRng::seed_from_u64(seed);
        let mut simulation = Simulation {
            admission: admission(1_000_000),
            running: Vec::new(),
            completions: 0,
            reset_at: time::Instant(0),
        };
        for at in 0..1000 {
            simulation.step(time::Instant(at * 40), &mut random);
        }
        let load = simulation.admission.load();
        assert_eq!(
            load.running as usize,
            simulation.running.len(),
            "seed {seed}"
        );
    }
}

#[test]
fn a_slow_first_token_is_a_sign_also_before_it_comes() {
    let mut admission = admission(MEMORY_TOKENS);
    for at in 0..50 {
        let now = time::Instant(at * 1000);
        let request = request(&mut admission, 200);
        let stream = admission.start(now, request);
        assert_eq!(
            admission.record_tokens(time::Instant(now.0 + 60), stream, 1),
            None
        );
        admission.finished(time::Instant(now.0 + 500), stream, admit::End::Completed);
    }
    assert!(admission.load().limit > 40);
    let now = time::Instant(100_000);
    let request = request(&mut admission, 200);
    admission.start(now, request);
    assert_eq!(admission.check_overdue(time::Instant(now.0 + 100)), None);
    let sign = admission.check_overdue(time::Instant(now.0 + 1000));
    assert_eq!(sign, Some(ramp::Sign::SlowFirstToken));
    assert!(admission.load().limit <= ramp::START_LIMIT);
}

#[test]
fn a_request_that_cannot_make_its_deadline_is_refused_at_once() {
    let mut admission = admission(MEMORY_TOKENS);
    let now = time::Instant(1000);
    let usual = request(&mut admission, 500);
    while admission.room(&usual) == admit::Room::Fits {
        admission.start(now, usual);
    }
    let mut late = request(&mut admission, 500);
    late.deadline = time::Instant(now.0 + 100);
    let decision = admit::decide(&admission, now, &late);
    let admit::Decision::Refuse {
        reason: admit::Reason::Deadline,
        retry_after_ms,
    } = decision
    else {
        panic!("{decision:?}");
    };
    assert!(retry_after_ms > 0);
}

/// Runs calls of a plain service, as many at a time as are admitted, until the ramp is at its
/// ceiling.
fn ramp_up_plain(admission: &mut admit::Admission) -> time::Instant {
    let mut now = time::Instant(0);
    for _ in 0..200 {
        let call = plain_call(admission);
        let mut streams = Vec::new();
        while admission.room(&call) == admit::Room::Fits {
            streams.push(admission.start(now, call));
        }
        now = time::Instant(now.0 + 40);
        for stream in streams {
            admission.finished(now, stream, admit::End::Completed);
        }
    }
    now
}

fn plain_call(admission: &mut admit::Admission) -> admit::Request {
    let request = request(admission, 0);
    admit::Request {
        max_tokens: 0,
        ..request
    }
}

#[test]
fn a_plain_service_is_bounded_by_its_ramp_alone() {
    let mut admission = admission(0);
    let now = ramp_up_plain(&mut admission);
    assert_eq!(admission.load().limit, 64);
    let call = plain_call(&mut admission);
    let mut concurrent = 0;
    let mut trial = admission.clone();
    while trial.room(&call) == admit::Room::Fits {
        trial.start(now, call);
        concurrent += 1;
    }
    assert_eq!(concurrent, 64);
    let streams: Vec<_> = (0..20).map(|_| admission.start(now, call)).collect();
    let later = time::Instant(now.0 + 2000);
    for stream in streams.iter().skip(2) {
        admission.finished(time::Instant(now.0 + 40), *stream, admit::End::Completed);
    }
    assert_eq!(
        admission.check_overdue(later),
        None,
        "two slow calls are not a sign of a cold upstream"
    );
    (0..20).for_each(|_| {
        admission.start(now, call);
    });
    let sign = admission.check_overdue(later);
    assert_eq!(sign, Some(ramp::Sign::SlowFirstToken));
    assert_eq!(admission.room(&call), admit::Room::Ramping);
}

#[test]
fn plain_calls_of_a_small_team_go_before_the_backlog_of_a_large_one() {
    let mut admission = admission(0);
    let now = ramp_up_plain(&mut admission);
    let large = plain_call(&mut admission);
    let team = admission.team("small", 1);
    let small = admit::Request { team, ..large };
    let mut running = Vec::new();
    while admission.room(&large) == admit::Room::Fits {
        running.push(admission.start(now, large));
    }
    for _ in 0..30 {
        admission.push(now, large);
    }
    let queue::Pushed::Queued(ticket) = admission.push(now, small) else {
        panic!("the queue is not full");
    };
    admission.finished(now, running[0], admit::End::Completed);
    let started = admission.next(now).expect("one request can start");
    assert_eq!(started.ticket, ticket);
}

#[test]
fn completions_do_not_raise_the_limit_of_a_cold_upstream() {
    let mut admission = admission(0);
    let mut now = ramp_up_plain(&mut admission);
    admission.set_cold(true);
    admission.record_sign(now, ramp::Sign::NewIncarnation);
    for _ in 0..50 {
        let call = plain_call(&mut admission);
        let mut streams = Vec::new();
        while admission.room(&call) == admit::Room::Fits {
            streams.push(admission.start(now, call));
        }
        assert_eq!(streams.len(), ramp::START_LIMIT as usize);
        assert_eq!(admission.load().limit, ramp::START_LIMIT);
        now = time::Instant(now.0 + 40);
        admission.record_sign(now, ramp::Sign::EmptyCache);
        for stream in streams {
            admission.finished(now, stream, admit::End::Completed);
        }
    }
    admission.set_cold(false);
    let call = plain_call(&mut admission);
    let stream = admission.start(now, call);
    admission.finished(now, stream, admit::End::Completed);
    assert_eq!(admission.load().limit, ramp::START_LIMIT + 1);
}
