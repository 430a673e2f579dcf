//! Scanning of server-sent events from input split at arbitrary points.

use peargap_core::sse;
use quickcheck::quickcheck;

fn scan_all(mut bytes: &[u8]) -> Vec<sse::Event> {
    let mut events = Vec::new();
    while let Some(event) = sse::scan_event(bytes) {
        bytes = &bytes[event.bytes..];
        events.push(event);
    }
    events
}

#[test]
fn an_event_ends_with_a_blank_line() {
    assert_eq!(sse::scan_event(b"id: 1\ndata: x\n"), None);
    let found = sse::scan_event(b"id: 1\ndata: x\n\nid: 2").expect("an event");
    assert_eq!(found.id, Some(1));
    assert_eq!(found.bytes, 15);
}

#[test]
fn carriage_returns_and_missing_ids_are_accepted() {
    let found = sse::scan_event(b"id:7\r\ndata: x\r\n\r\n").expect("an event");
    assert_eq!(found.id, Some(7));
    let found = sse::scan_event(b"data: id: 3\n\n").expect("an event");
    assert_eq!(found.id, None);
}

#[test]
fn a_non_numeric_id_is_ignored() {
    let found = sse::scan_event(b"id: x1\n\n").expect("an event");
    assert_eq!(found.id, None);
}

quickcheck! {
    fn split_input_gives_the_same_events(ids: Vec<u16>, cut: usize) -> bool {
        let text: String = ids.iter().map(|id| format!("id: {id}\ndata: {id}{id}\n\n")).collect();
        let whole = scan_all(text.as_bytes());
        let cut = cut.checked_rem(text.len() + 1).unwrap_or(0);
        // The bytes after the last complete event are scanned again with the rest of the input.
        let first = scan_all(&text.as_bytes()[..cut]);
        let used: usize = first.iter().map(|event| event.bytes).sum();
        let rest = scan_all(&text.as_bytes()[used..]);
        let split: Vec<_> = first.into_iter().chain(rest).collect();
        let found: Vec<_> = whole.iter().map(|event| event.id).collect();
        let sent: Vec<_> = ids.iter().map(|id| Some(u64::from(*id))).collect();
        split == whole && found == sent
    }
}
