//! Forecast of outputs, and room at engines by it.

use peargap_core::balance;
use peargap_core::engine_room;
use peargap_core::output_forecast;
use peargap_core::pace;
use rand::SeedableRng as _;

const MEMORY: u64 = 27_000;
const PROMPT: u64 = 3000;
const OUTPUT: u64 = 750;

fn request(hint: Option<u64>) -> output_forecast::Request {
    output_forecast::Request {
        hint,
        max_output: Some(1500),
        prompt: PROMPT,
    }
}

/// Returns forecasts that have seen `count` outputs of [`OUTPUT`] tokens.
fn learn(count: u32) -> output_forecast::Forecasts {
    let mut forecasts = output_forecast::Forecasts::default();
    for _output in 0..count {
        let class = forecasts.classify("digest", None);
        forecasts.record_growth(class, 0, OUTPUT);
        forecasts.record_end(class, OUTPUT);
    }
    forecasts
}

fn engine(running: u64, later: engine_room::Later) -> balance::Candidate<u8> {
    balance::Candidate {
        expected: None,
        fit: pace::Fit::Long,
        pace: 1.0,
        is_near: true,
        is_own: false,
        key: 1,
        load: balance::Load {
            later: engine_room::Later {
                far: later.far * running,
                near: later.near * running,
            },
            running: u32::try_from(running).expect("few"),
            tokens: (PROMPT + 200) * running,
            ..balance::Load::default()
        },
        memory: MEMORY,
        slots: 32,
    }
}

fn choose(running: u64, later: engine_room::Later, ahead: u32) -> engine_room::Choice<u8> {
    let need = engine_room::Need {
        pace: pace::Need::default(),
        ahead,
        beside: 0,
        later,
        looks_ahead: true,
        may_draw: true,
        tokens: PROMPT + 200,
    };
    let mut random = rand::rngs::SmallRng::seed_from_u64(1);
    engine_room::choose(&[engine(running, later)], need, &mut random)
}

#[test]
fn an_engine_takes_as_many_as_fit_when_they_have_grown() {
    let mut forecasts = learn(40);
    let class = forecasts.classify("digest", None);
    let later = forecasts.later(class, request(None), 0);
    // By their prompts alone eight would fit; grown together seven do.
    assert_eq!(choose(6, later, 0), engine_room::Choice::Take(1));
    assert_eq!(choose(7, later, 0), engine_room::Choice::Full);
    assert_eq!(
        choose(7, engine_room::Later::default(), 0),
        engine_room::Choice::Take(1)
    );
}

#[test]
fn an_engine_that_runs_nothing_takes_what_is_expected_to_be_too_long() {
    let later = engine_room::Later {
        far: 2 * MEMORY,
        near: 2 * MEMORY,
    };
    assert_eq!(choose(0, later, 0), engine_room::Choice::Take(1));
}

#[test]
fn room_for_one_is_left_to_those_that_go_first() {
    // Eight fit, but an engine takes two prompts at a time.
    let later = engine_room::Later::default();
    assert_eq!(choose(4, later, 1), engine_room::Choice::Take(1));
    assert_eq!(choose(4, later, 2), engine_room::Choice::HeldBack);
    // There is memory for one more.
    assert_eq!(choose(7, later, 1), engine_room::Choice::HeldBack);
}

#[test]
fn a_hint_counts_until_outputs_are_known() {
    let mut forecasts = output_forecast::Forecasts::default();
    let short = forecasts.classify("digest", Some(10));
    let long = forecasts.classify("digest", Some(2000));
    let unknown = forecasts.classify("digest", None);
    let far = |class, hint| forecasts.later(class, request(hint), 0).far;
    assert!(far(short, Some(10)) < 50);
    assert!(far(long, Some(2000)) > 3000);
    assert!(far(unknown, None) < far(long, Some(2000)));
}

#[test]
fn nothing_is_expected_beyond_the_limit_of_the_output() {
    let mut forecasts = learn(0);
    let class = forecasts.classify("check", None);
    let request = output_forecast::Request {
        max_output: Some(16),
        ..request(None)
    };
    let later = forecasts.later(class, request, 0);
    let most = engine_room::Later {
        far: 0,
        near: PROMPT + 16,
    };
    assert_eq!(later, most);
}

#[test]
fn classes_are_bounded() {
    let mut forecasts = output_forecast::Forecasts::default();
    for number in 0..20_000_u64 {
        let class = forecasts.classify(&number.to_string(), Some(number));
        forecasts.record_end(class, number);
    }
    assert!(
        forecasts.count_classes() <= 13_000,
        "{}",
        forecasts.count_classes()
    );
}
