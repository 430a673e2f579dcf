//! Properties of the body parser and of a stream's progress, over fixed seeds.

use bytes::Bytes;
use peargap_entry::progress;
use peargap_entry::prompt;
use quickcheck::Arbitrary as _;

const SEEDS: u64 = 2_000;
const SIZE: usize = 64;

fn list_generators() -> impl Iterator<Item = quickcheck::Gen> {
    (0..SEEDS).map(|seed| quickcheck::Gen::from_size_and_seed(SIZE, seed))
}

fn parse(shape: prompt::Shape, body: impl Into<Vec<u8>>) -> Result<prompt::Prompt, prompt::Wrong> {
    prompt::parse_prompt(shape, Bytes::from(body.into()))
}

#[test]
fn any_text_is_kept_as_the_prompt() {
    for mut random in list_generators() {
        let text = String::arbitrary(&mut random);
        let limit = u32::arbitrary(&mut random).max(1);
        let body = serde_json::json!({"model": "m", "prompt": text, "max_tokens": limit});
        let prompt = parse(prompt::Shape::Completion, body.to_string()).unwrap();
        assert_eq!(prompt.text, text.as_bytes());
        assert_eq!((prompt.max_tokens, prompt.stream), (limit, false));
    }
}

#[test]
fn any_bytes_are_taken_or_refused_with_a_reason() {
    let whole = br#"{"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":3}"#;
    for mut random in list_generators() {
        let mut body = whole.to_vec();
        for _ in 0..1 + u8::arbitrary(&mut random) % 4 {
            let at = usize::arbitrary(&mut random) % body.len();
            body[at] = u8::arbitrary(&mut random);
        }
        for shape in [prompt::Shape::Chat, prompt::Shape::Completion] {
            match parse(shape, body.clone()) {
                Ok(prompt) => assert!(!prompt.model.is_empty()),
                Err(wrong) => assert!(!wrong.message.is_empty()),
            }
        }
        let noise = Vec::<u8>::arbitrary(&mut random);
        assert!(parse(prompt::Shape::Chat, noise).is_err());
    }
}

#[test]
fn any_wrong_number_is_refused_by_its_field() {
    for mut random in list_generators() {
        let number = i64::arbitrary(&mut random);
        let body = serde_json::json!({"model": "m", "prompt": "x", "max_tokens": number});
        let right = number >= 1 && number <= i64::from(u32::MAX);
        match parse(prompt::Shape::Completion, body.to_string()) {
            Ok(_) => assert!(right, "{number}"),
            Err(wrong) => assert!(!right && wrong.field == "max_tokens", "{number}"),
        }
    }
}

/// Links that bring chunks late, twice and out of place never change what is handed on.
#[test]
fn any_order_of_chunks_hands_each_token_on_once_and_in_order() {
    for mut random in list_generators() {
        let mut progress = progress::Progress::default();
        assert_eq!(progress.take_name("a"), progress::Naming::New);
        let mut handed = Vec::new();
        for _ in 0..SIZE {
            let offset = u64::arbitrary(&mut random) % (handed.len() as u64 + 4);
            let count = u64::arbitrary(&mut random) % 5;
            let tokens = (offset..offset + count).map(|at| Bytes::from(at.to_string()));
            match progress.take_chunk(offset, tokens.collect()) {
                progress::Step::Deliver { offset, tokens } => {
                    assert_eq!(offset, handed.len() as u64);
                    handed.extend(tokens);
                }
                progress::Step::Gap => assert!(offset > handed.len() as u64),
                progress::Step::Ignore => assert!(offset + count <= handed.len() as u64),
            }
            assert_eq!(progress.take_name("b"), progress::Naming::Other);
        }
        let whole = (0..handed.len()).map(|at| Bytes::from(at.to_string()));
        assert!(handed.iter().cloned().eq(whole));
    }
}
