//! Panics of tasks: they are counted, and end nothing else.

use peargap_adapters::metrics;
use peargap_adapters::panics;

#[tokio::test]
async fn a_panic_is_counted_and_ends_only_its_own_work() {
    panics::install();
    let registry = metrics::Registry::new().expect("a registry");
    let broken = panics::catch(async { panic!("no such case") });
    assert_eq!(broken.await, Err(panics::Panicked));
    assert_eq!(panics::catch(async { 7 }).await, Ok(7));
    let text = registry.encode();
    let is_counted = |line: &str| line.starts_with("peargap_panics") && line.ends_with(" 1");
    assert!(text.lines().any(is_counted), "{text}");
}
