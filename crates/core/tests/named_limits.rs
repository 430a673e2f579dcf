//! News of limits lead to the same limit in whatever order they arrive.

use peargap_core::named_limits::News;
use peargap_core::named_limits::Table;

fn news(born_ms: u64, sequence: u64, limit: u8) -> News {
    News {
        born_ms,
        per_s: (limit > 0).then(|| f64::from(limit)),
        sequence,
        upstream: "a".to_owned(),
    }
}

#[test]
fn the_order_of_arrival_does_not_matter() {
    fn holds(told: Vec<(u8, u8, u8)>) -> bool {
        let told = told.into_iter();
        let told = told.map(|(born, sequence, limit)| {
            news(u64::from(born % 3), u64::from(sequence % 4), limit % 4)
        });
        let told: Vec<News> = told.collect();
        let (mut forward, mut backward) = (Table::default(), Table::default());
        for news in &told {
            forward.merge(news.clone());
        }
        for news in told.iter().rev() {
            backward.merge(news.clone());
        }
        (0..3).all(|born_ms| forward.get("a", born_ms) == backward.get("a", born_ms))
    }
    quickcheck::quickcheck(holds as fn(Vec<(u8, u8, u8)>) -> bool);
}

#[test]
fn a_limit_belongs_to_one_start_and_ends_when_it_is_no_longer_named() {
    let mut table = Table::default();
    assert!(table.name("a", 5, Some(2.0)));
    assert!(!table.name("a", 5, Some(2.05)));
    assert_eq!(table.get("a", 5), Some(2.0));
    assert_eq!(table.get("a", 6), None);
    assert!(!table.name("a", 4, Some(1.0)));
    assert!(table.merge(news(5, 7, 9)));
    assert!(table.name("a", 5, None));
    assert!(!table.merge(news(5, 7, 3)));
    assert_eq!(table.get("a", 5), None);
    let own: Vec<u64> = table.list_own_after(0).map(|news| news.sequence).collect();
    assert_eq!(own, [8]);
}
