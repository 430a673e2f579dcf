//! Settings of a gateway.

use std::time;

use peargap_adapters::settings as adapter;
use peargap_gateway::settings;

const TEXT: &str = "[node]\nname = g\ndomain = a\n[listen]\ncallers = 127.0.0.1:1\n\
                    health = 127.0.0.1:2\n[control]\nport = 3\nseeds = 127.0.0.1:4\n";

fn read(retries: &str) -> Result<settings::Settings, adapter::Findings> {
    let text = format!("{TEXT}[retries]\n{retries}");
    settings::read(adapter::Reader::parse("gateway.ini", &text))
}

#[test]
fn bounds_of_retries_are_read_and_have_defaults() {
    let limits = read("ratio = 0.1\nburst = 90\nwindow_s = 2.5\n")
        .expect("valid settings")
        .retry_limits;
    assert_eq!((limits.ratio, limits.burst), (0.1, 90.0));
    assert_eq!(limits.window, time::Duration::from_millis(2500));
    let limits = read("").expect("valid settings").retry_limits;
    assert_eq!((limits.ratio, limits.burst), (0.2, 64.0));
}

#[test]
fn bounds_of_retries_that_are_out_of_range_are_reported() {
    for line in ["ratio = 2\n", "burst = -1\n", "window_s = 0\n"] {
        assert!(read(line).is_err(), "{line}");
    }
}

#[test]
fn bounds_of_responses_are_read_and_checked() {
    let read = |responses: &str| read(&format!("[responses]\n{responses}"));
    let default = settings::ResponseLimits::default();
    assert_eq!(read("").expect("settings").response_limits, default);
    let limits = read("body_bytes = 2048\n")
        .expect("settings")
        .response_limits;
    assert_eq!(limits.body_bytes, 2048);
    assert!(read("event_bytes = 0\n").is_err());
}
