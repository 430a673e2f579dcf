//! Transfers of routing documents, from a control host's text to a gateway's.

use bytes::Bytes;
use peargap_adapters::document;
use peargap_core::document_history;
use peargap_core::document_transfer;

/// Most bytes that a change of one of 2,000 routes may cost for each gateway.
const MAX_CHANGE_BYTES: usize = 4096;

/// Returns a document with 2,000 routes; `changed` gets another timeout.
fn write_text(version: u64, changed: u64) -> document_history::Text {
    let routes: Vec<String> = (0..2000)
        .map(|number| {
            let timeout = 2500 + 1000 * u64::from(number == changed);
            format!(
                r#"{{"name":"route-{number}","host":"h{}.example","prefix":"/{:x}/",
                "kind":"idempotent","timeout":{timeout},"objective":300,"attempts":2,
                "shares":[{{"service":"s-{}","weight":{}}},{{"service":"t","weight":1}}]}}"#,
                number % 7,
                number * 7_919,
                number % 13,
                number % 5 + 1
            )
        })
        .collect();
    let bytes = format!(r#"{{"routes":[{}],"version":{version}}}"#, routes.join(","));
    document_history::Text::new(version, Bytes::from(bytes))
}

fn encode(base: u64, version: u64) -> document_transfer::Transfer {
    let pair = document_history::Pair {
        base: write_text(base, base),
        text: write_text(version, version),
    };
    document::encode_difference(&pair).expect("a transfer")
}

#[test]
fn a_change_of_one_of_2000_routes_takes_one_short_piece() {
    let transfer = encode(41, 42);
    assert!(
        transfer.data.len() < MAX_CHANGE_BYTES / 4,
        "{}",
        transfer.data.len()
    );
    let message = document::encode_piece(transfer.cut(0));
    let bytes = prost::Message::encoded_len(&message);
    println!("a change of one of 2,000 routes: {bytes} bytes");
    assert!(bytes < MAX_CHANGE_BYTES, "{bytes}");
    let piece = document::decode_piece(message).expect("a piece");
    assert!(piece.is_whole());
    let text = document::decode(&transfer, Some(&write_text(41, 41)));
    assert_eq!(text.expect("a text"), write_text(42, 42));
}

#[test]
fn a_whole_text_is_compressed_and_needs_no_base() {
    let text = write_text(42, 42);
    let transfer = document::encode_whole(&text).expect("a transfer");
    println!(
        "whole: {} of {} bytes",
        transfer.data.len(),
        text.bytes.len()
    );
    assert!(transfer.data.len() < text.bytes.len() / 4);
    assert_eq!(document::decode(&transfer, None).expect("a text"), text);
}

#[test]
fn a_difference_from_another_base_is_refused() {
    let transfer = encode(41, 42);
    let mut changed = write_text(41, 41);
    changed.bytes = Bytes::from(changed.bytes.to_ascii_uppercase());
    for held in [None, Some(write_text(40, 40)), Some(changed)] {
        let decoded = document::decode(&transfer, held.as_ref());
        assert!(decoded.is_err(), "{decoded:?}");
    }
}

#[test]
fn a_corrupt_transfer_never_gives_a_text() {
    let base = write_text(41, 41);
    for transfer in [
        encode(41, 42),
        document::encode_whole(&write_text(42, 42)).expect("one"),
    ] {
        let step = transfer.data.len().div_ceil(100);
        for index in (0..transfer.data.len()).step_by(step) {
            let mut data = transfer.data.to_vec();
            data[index] ^= 1;
            let corrupt = document_transfer::Transfer {
                data: Bytes::from(data),
                ..transfer
            };
            if let Ok(text) = document::decode(&corrupt, Some(&base)) {
                // A change that has no effect, for example in the last byte's unused bits.
                assert_eq!(text, write_text(42, 42));
            }
        }
        let cut = document_transfer::Transfer {
            data: transfer.data.slice(..transfer.data.len() / 2),
            ..transfer
        };
        assert!(document::decode(&cut, Some(&base)).is_err());
    }
}

#[test]
fn what_a_gateway_has_is_told_whole() {
    let held = document_history::Held {
        digest: 7,
        received: 4096,
        transfer: Some(encode(41, 42).header),
        version: 41,
    };
    assert_eq!(document::decode_held(&document::encode_held(&held)), held);
}
