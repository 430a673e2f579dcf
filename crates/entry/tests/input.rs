//! Properties of the body parser and of the delivery progress, over fixed seeds.

use bytes::Bytes;
use peargap_entry::progress;
use peargap_entry::prompt;
use quickcheck::Arbitrary as _;

const SEEDS: u64 = 2_000;
const SIZE: usize = 64;

fn list_generators() -> impl Iterator<Item = quickcheck::Gen> {
    (0..SEEDS).map(|seed| quickcheck::Gen::from_size_and_seed(SIZE, seed))
}

fn parse(
    shape: prompt::Shape,
    body: impl Into<Vec<u8>>,
) -> Result<prompt::Prompt, prompt::ValidationError> {
    prompt::parse_prompt(shape, Bytes::from(body.into()))
}

#[test]
fn any_text_is_kept_as_the_prompt() {
    for mut generator in list_generators() {
        let text = String::arbitrary(&mut generator);
        let limit = u32::arbitrary(&mut generator).max(1);
        let body = serde_json::json!({"model": "m", "prompt": text, "max_tokens": limit});
        let prompt = parse(prompt::Shape::Completion, body.to_string()).unwrap();
        assert_eq!(prompt.text, text.as_bytes());
        assert_eq!((prompt.max_tokens, prompt.stream), (limit, false));
    }
}

#[test]
fn any_bytes_are_accepted_or_refused_with_a_message() {
    let whole = br#"{"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":3}"#;
    for mut generator in list_generators() {
        let mut body = whole.to_vec();
        for _ in 0..1 + u8::arbitrary(&mut generator) % 4 {
            let at = usize::arbitrary(&mut generator) % body.len();
            body[at] = u8::arbitrary(&mut generator);
        }
        for shape in [prompt::Shape::Chat, prompt::Shape::Completion] {
            match parse(shape, body.clone()) {
                Ok(prompt) => assert!(!prompt.model.is_empty()),
                Err(error) => assert!(!error.message.is_empty()),
            }
        }
        let noise = Vec::<u8>::arbitrary(&mut generator);
        assert!(parse(prompt::Shape::Chat, noise).is_err());
    }
}

#[test]
fn any_invalid_limit_is_refused_by_its_field() {
    for mut generator in list_generators() {
        let number = i64::arbitrary(&mut generator);
        let body = serde_json::json!({"model": "m", "prompt": "x", "max_tokens": number});
        let valid = number >= 1 && number <= i64::from(u32::MAX);
        match parse(prompt::Shape::Completion, body.to_string()) {
            Ok(_) => assert!(valid, "{number}"),
            Err(error) => assert!(!valid && error.field == "max_tokens", "{number}"),
        }
    }
}

/// Chunks that arrive late, twice or out of order never change what is delivered.
#[test]
fn any_order_of_chunks_delivers_each_token_once_and_in_order() {
    for mut generator in list_generators() {
        let mut progress = progress::Progress::default();
        assert_eq!(
            progress.check_generation("a"),
            progress::GenerationCheck::New
        );
        let mut delivered = Vec::new();
        for _ in 0..SIZE {
            let offset = u64::arbitrary(&mut generator) % (delivered.len() as u64 + 4);
            let count = u64::arbitrary(&mut generator) % 5;
            let tokens = (offset..offset + count).map(|at| Bytes::from(at.to_string()));
            match progress.accept_chunk(offset, tokens.collect()) {
                progress::ChunkAction::Deliver { offset, tokens } => {
                    assert_eq!(offset, delivered.len() as u64);
                    delivered.extend(tokens);
                }
                progress::ChunkAction::Gap => assert!(offset > delivered.len() as u64),
                progress::ChunkAction::Ignore => assert!(offset + count <= delivered.len() as u64),
            }
            assert_eq!(
                progress.check_generation("b"),
                progress::GenerationCheck::Mismatch
            );
        }
        let whole = (0..delivered.len()).map(|at| Bytes::from(at.to_string()));
        assert!(delivered.iter().cloned().eq(whole));
    }
}
