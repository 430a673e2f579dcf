//! A request's timeline from sample log lines.

use peargap_cli::timeline;

const LOG: &str = r#"edge-1 {"level":"info","timestamp":1000,"payload":"E6010 request placed: request=ab upstream=i-1 copy=i-2 tokens=9","logger":"peargap-gateway","tid":1}
edge-1 {"level":"info","timestamp":1400,"payload":"E6019 generation begun: request=ab upstream=i-1 waited_ms=400","logger":"peargap-gateway","tid":1}
edge-2 {"level":"info","timestamp":1500,"payload":"E6010 request placed: request=abc upstream=i-1 copy=none tokens=9","logger":"peargap-gateway","tid":1}
plain text that is no record
edge-3 {"level":"info","timestamp":1900,"payload":"E6009 upstream changed: upstream=i-1 state=Draining","logger":"peargap-gateway","tid":1}
edge-1 {"level":"info","timestamp":2000,"payload":"E6009 upstream changed: upstream=i-1 state=Draining","logger":"peargap-gateway","tid":1}
edge-1 {"level":"info","timestamp":2100,"payload":"E6008 domains out of service changed: revision=4 domains={\"a\"}","logger":"peargap-gateway","tid":1}
edge-3 {"level":"info","timestamp":9000,"payload":"E2120 upstream heard: upstream=i-1 state=Left","logger":"peargap-control","tid":1}
edge-1 {"level":"info","timestamp":2300,"payload":"E6012 request ended: request=ab end=Broken(\"engine stream failed\") events=3 upstream=i-1","logger":"peargap-gateway","tid":1}
"#;

#[test]
fn a_timeline_has_the_request_and_changes_of_its_upstreams() {
    let lines = timeline::collect(LOG, "ab");
    let codes: Vec<&str> = lines.iter().map(|line| &line.text[..5]).collect();
    assert_eq!(codes, ["E6010", "E6019", "E6009", "E6008", "E6012"]);
    let text = timeline::format_timeline(&lines);
    assert!(text.contains("   1000 ms  edge-1 peargap-gateway  E6009"));
    assert!(text
        .lines()
        .last()
        .expect("a line")
        .contains("engine stream failed"));
}

#[test]
fn an_unknown_request_has_no_timeline() {
    assert!(timeline::collect(LOG, "zz").is_empty());
}
