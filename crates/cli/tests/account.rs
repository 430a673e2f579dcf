//! Counts generations by outcome in sample log lines.

use peargap_cli::account;
use peargap_cli::account_windows;

fn write_log(payloads: &[&str]) -> String {
    let lines = payloads.iter().map(|payload| {
        let payload = serde_json::to_string(payload).expect("text");
        format!("edge-1 {{\"timestamp\":1,\"payload\":{payload},\"logger\":\"peargap-gateway\"}}\n")
    });
    lines.collect()
}

#[test]
fn generations_are_counted_by_outcome() {
    let log = write_log(&[
        "E6012 request ended: request=a end=Complete pace=OnTime events=3 moves=0 prompt=100 output=20",
        "E6012 request ended: request=b end=Complete pace=OnTime events=3 moves=1 prompt=100 output=30",
        "E6012 request ended: request=c end=Complete pace=Paused events=3 pause_by_move=true moves=1 prompt=1 output=1",
        "E6012 request ended: request=d status=200 bytes=800",
        "E6011 request refused: request=e why=Full",
    ]);
    let rows = account::count_outcomes(&log);
    assert_eq!(rows.len(), 3);
    let on_time = rows.get(&account::Outcome::OnTime).expect("on time");
    assert_eq!((on_time.count, on_time.tokens), (2, 700));
    let paused = account::Outcome::Paused {
        by_move: true,
        moved: true,
    };
    assert_eq!(rows.get(&paused).map(|row| row.tokens), Some(11));
    let refused = account::Outcome::Refused("Full".to_owned());
    assert_eq!(rows.get(&refused).map(|row| row.count), Some(1));
}

#[test]
fn a_broken_generation_reports_its_failed_move() {
    let log = write_log(&[
        "E6015 move failed: request=a from=i-1 why=NotCopied(\"engine answered 503\")",
        "E6012 request ended: request=a end=Broken(\"engine stream failed\") leaving=true events=3",
        "E6012 request ended: request=b end=Broken(\"deadline exceeded\") leaving=false events=3",
    ]);
    let rows = account::count_outcomes(&log);
    let refused = account::Outcome::Broken {
        leaving: true,
        refused: Some("NotCopied(\"engine answered 503\")".to_owned()),
        why: "engine stream failed".to_owned(),
    };
    assert!(rows.contains_key(&refused), "{rows:?}");
    let timed_out = account::Outcome::Broken {
        leaving: false,
        refused: None,
        why: "deadline exceeded".to_owned(),
    };
    assert!(rows.contains_key(&timed_out), "{rows:?}");
}

#[test]
fn a_generation_without_an_end_line_is_counted_as_untold() {
    let log = write_log(&[
        "E6019 generation begun: request=a upstream=i-1 waited_ms=3",
        "E6019 generation begun: request=b upstream=i-1 waited_ms=3",
        "E6012 request ended: request=b end=Complete pace=OnTime events=3 prompt=30 output=0",
    ]);
    let rows = account::count_outcomes(&log);
    let untold = rows.get(&account::Outcome::Untold { begun: true });
    assert_eq!(untold.expect("a row").count, 1);
    assert_eq!(rows.len(), 2);
}

#[test]
fn a_generation_that_was_only_placed_is_counted_as_untold_with_its_tokens() {
    let log = write_log(&[
        "E6010 request placed: request=a upstream=i-1 copy=none tokens=900 running=0",
        "E6010 request placed: request=b upstream=i-1 copy=none tokens=800 running=0",
        "E6011 request refused: request=b why=UpstreamFailed",
        "E6010 request placed: request=c upstream=d-1",
    ]);
    let rows = account::count_outcomes(&log);
    let untold = rows.get(&account::Outcome::Untold { begun: false });
    let untold = untold.expect("a row");
    assert_eq!((untold.count, untold.tokens), (1, 900));
    assert_eq!(rows.len(), 2);
}

#[test]
fn outcomes_count_in_the_window_of_the_request() {
    let lines = [
        (
            1_000,
            "E6010 request placed: request=a upstream=i-1 tokens=9",
        ),
        (
            1_100,
            "E6010 request placed: request=b upstream=i-1 tokens=9",
        ),
        (
            3_200,
            "E6012 request ended: request=a end=Complete pace=LateFirst events=3",
        ),
        (3_300, "E6011 request refused: request=c why=Full"),
        (3_400, "E6011 request refused: request=d why=RouteUnknown"),
    ];
    let lines = lines.map(|(at_ms, payload)| {
        let payload = serde_json::to_string(payload).expect("text");
        format!("e {{\"timestamp\":{at_ms},\"payload\":{payload},\"logger\":\"g\"}}\n")
    });
    let length = std::time::Duration::from_secs(2);
    let windows = account_windows::count_windows(&lines.concat(), length);
    let first = account_windows::Window {
        late: 1,
        lost: 1,
        ..account_windows::Window::default()
    };
    let second = account_windows::Window {
        refused: 1,
        ..account_windows::Window::default()
    };
    assert_eq!(
        windows.into_iter().collect::<Vec<_>>(),
        [(0, first), (2_000, second)]
    );
}

#[test]
fn the_table_lists_the_most_tokens_first() {
    let log = write_log(&[
        "E6012 request ended: request=a end=Left pace=LateFirst events=0 prompt=10 output=0",
        "E6012 request ended: request=b end=Complete pace=OnTime events=3 prompt=30 output=0",
    ]);
    let table = account::format_table(&account::count_outcomes(&log));
    let lines: Vec<&str> = table.lines().collect();
    assert_eq!(lines[1], "      1           75.0 %  OnTime");
    assert_eq!(lines[2], "      1           25.0 %  CallerLeft");
}
