//! Differences between two texts.

use bytes::Bytes;
use peargap_core::document_delta;
use quickcheck::TestResult;

const MAX_BYTES: usize = 1 << 20;

/// Returns a document with one element for each number.
fn write_text(version: u64, numbers: impl Iterator<Item = u64>) -> Bytes {
    let elements: Vec<String> = numbers
        .map(|number| {
            format!(r#"{{"name":"r-{number}","host":"h.example","prefix":"/p/{number}/"}}"#)
        })
        .collect();
    Bytes::from(format!(
        r#"{{"version":{version},"elements":[{}]}}"#,
        elements.join(",")
    ))
}

fn count_inserted(steps: &[document_delta::Step]) -> usize {
    let inserted = steps.iter().map(|step| match step {
        document_delta::Step::Copy(_) => 0,
        document_delta::Step::Insert(bytes) => bytes.len(),
    });
    inserted.sum()
}

#[test]
fn texts_of_any_bytes_are_reproduced() {
    fn reproduces(base: Vec<u8>, text: Vec<u8>, repeats: u8) -> TestResult {
        let base = base.repeat(usize::from(repeats));
        let text = Bytes::from([&text[..], &base, &text].concat());
        let steps = document_delta::diff(&base, &text);
        TestResult::from_bool(document_delta::apply(&base, &steps, MAX_BYTES) == Ok(text))
    }
    quickcheck::quickcheck(reproduces as fn(Vec<u8>, Vec<u8>, u8) -> TestResult);
}

#[test]
fn an_element_that_is_changed_added_removed_or_moved_costs_about_itself() {
    let base = write_text(1, 0..2000);
    let changes = [
        write_text(
            2,
            (0..2000).map(|number| number + 5000 * u64::from(number == 700)),
        ),
        write_text(2, 0..2001),
        write_text(2, (0..2000).filter(|number| *number != 700)),
        write_text(2, (1..2000).chain([0])),
    ];
    for text in changes {
        let steps = document_delta::diff(&base, &text);
        assert_eq!(document_delta::apply(&base, &steps, MAX_BYTES), Ok(text));
        assert!(count_inserted(&steps) < 400, "{}", count_inserted(&steps));
        assert!(steps.len() < 16, "{}", steps.len());
    }
}

#[test]
fn steps_that_do_not_fit_the_base_are_refused() {
    let copy = |offset, length| {
        vec![document_delta::Step::Copy(document_delta::Range {
            length,
            offset,
        })]
    };
    for steps in [copy(0, 5), copy(4, 1), copy(usize::MAX, 2)] {
        let applied = document_delta::apply(b"base", &steps, MAX_BYTES);
        assert_eq!(applied, Err(document_delta::Error::OutOfBase));
    }
    let doubled = [copy(0, 4), copy(0, 4)].concat();
    let applied = document_delta::apply(b"base", &doubled, 7);
    assert_eq!(applied, Err(document_delta::Error::TooLong));
}
