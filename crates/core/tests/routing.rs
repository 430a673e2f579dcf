//! The replicated routing state.

use bytes::Bytes;
use peargap_core::routing;

#[test]
fn only_a_higher_version_replaces_a_document() {
    let mut state = routing::Routing::default();
    assert!(state.publish(3, Bytes::from_static(b"three")));
    assert!(!state.publish(3, Bytes::from_static(b"other")));
    assert!(!state.publish(2, Bytes::from_static(b"two")));
    assert_eq!(state.text, "three");
    assert!(state.publish(9, Bytes::from_static(b"nine")));
    assert_eq!(state.version, 9);
}

#[test]
fn a_domain_is_taken_out_and_returned_once() {
    let mut state = routing::Routing::default();
    assert!(state.shift(4, "a", true));
    assert!(!state.shift(5, "a", true));
    assert_eq!(state.revision, 4);
    assert!(state.shift(6, "a", false));
    assert!(!state.shift(7, "a", false));
    assert_eq!(state.revision, 6);
    assert!(state.domains_out.is_empty());
}
