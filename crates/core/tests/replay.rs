//! Properties of the replay buffer and of generation ids.

use bytes::Bytes;
use peargap_core::generation;
use peargap_core::replay_buffer;
use quickcheck::Arbitrary;
use quickcheck::Gen;

const CASES: u64 = 300;
const LIMIT_BYTES: usize = 600;

/// An operation on a buffer.
#[derive(Clone, Debug)]
enum Operation {
    Acknowledge(u8),
    Attach(u8),
    Detach,
    Push(u8),
    Take(u8),
}

impl Arbitrary for Operation {
    fn arbitrary(random: &mut Gen) -> Operation {
        let number = u8::arbitrary(random) % 24;
        match u8::arbitrary(random) % 10 {
            0 => Operation::Attach(number),
            1 => Operation::Detach,
            2 | 3 => Operation::Acknowledge(number),
            4..=6 => Operation::Take(number % 4),
            _ => Operation::Push(number % 12),
        }
    }
}

/// A buffer and the expected state of its reader.
struct Harness {
    acknowledged: u64,
    buffer: replay_buffer::Buffer,
    link: Option<replay_buffer::Link>,
    taken: u64,
}

fn text(offset: u64) -> Bytes {
    Bytes::from(format!("{offset} "))
}

impl Harness {
    /// Applies one operation and checks its result.
    fn apply(&mut self, operation: &Operation) {
        match *operation {
            Operation::Acknowledge(ahead) => self.acknowledge(self.acknowledged + u64::from(ahead)),
            Operation::Attach(offset) => self.attach(u64::from(offset)),
            Operation::Detach => {
                if let Some(old) = self.link.take() {
                    assert!(self.buffer.detach(old));
                    assert!(!self.buffer.detach(old));
                }
            }
            Operation::Push(back) => {
                let next = self.buffer.next();
                self.push(next.saturating_sub(u64::from(back / 4)) + u64::from(back % 2));
            }
            Operation::Take(most) => self.take(usize::from(most)),
        }
    }

    fn push(&mut self, offset: u64) {
        let (next, room) = (self.buffer.next(), self.buffer.has_room());
        let pushed = self.buffer.push(offset, text(offset));
        let expected = match offset.cmp(&next) {
            core::cmp::Ordering::Less => replay_buffer::Push::Repeated,
            core::cmp::Ordering::Greater => replay_buffer::Push::Gap,
            core::cmp::Ordering::Equal if room => replay_buffer::Push::Stored,
            core::cmp::Ordering::Equal => replay_buffer::Push::Full,
        };
        assert_eq!(pushed, expected);
        let grown = u64::from(pushed == replay_buffer::Push::Stored);
        assert_eq!(self.buffer.next(), next + grown);
    }

    fn take(&mut self, most: usize) {
        let Some(link) = self.link else {
            return;
        };
        if let replay_buffer::Take::Batch { offset, tokens } = self.buffer.take(link, most) {
            assert_eq!(offset, self.taken, "not in order");
            for token in tokens {
                assert_eq!(token, text(self.taken), "wrong token");
                self.taken += 1;
            }
        }
    }

    fn acknowledge(&mut self, offset: u64) {
        let Some(link) = self.link else {
            return;
        };
        if self.buffer.acknowledge(link, offset) {
            assert!(offset <= self.taken, "more than was taken");
            self.acknowledged = offset;
        }
    }

    fn attach(&mut self, offset: u64) {
        match self.buffer.attach(offset) {
            replay_buffer::Attach::Ready(new) => {
                if let Some(old) = self.link {
                    assert!(old < new);
                    assert_eq!(self.buffer.take(old, 9), replay_buffer::Take::Superseded);
                    assert!(!self.buffer.acknowledge(old, self.buffer.next()));
                }
                self.link = Some(new);
                (self.taken, self.acknowledged) = (offset, offset);
            }
            replay_buffer::Attach::Ahead => assert!(offset > self.buffer.next()),
            replay_buffer::Attach::Dropped { first } => assert!(offset < first),
        }
    }
}

#[test]
fn tokens_come_in_order_and_are_kept_until_acknowledged() {
    for seed in 0..CASES {
        let mut random = Gen::from_size_and_seed(200, seed);
        let mut harness = Harness {
            acknowledged: 0,
            buffer: replay_buffer::Buffer::new(LIMIT_BYTES),
            link: None,
            taken: 0,
        };
        for operation in Vec::<Operation>::arbitrary(&mut random) {
            harness.apply(&operation);
            let dropped = harness.buffer.first();
            assert!(
                dropped <= harness.acknowledged,
                "unacknowledged token dropped"
            );
            let most = LIMIT_BYTES + text(999).len() + 64;
            assert!(harness.buffer.kept_bytes() <= most, "over the limit");
        }
    }
}

#[test]
fn full_buffer_goes_on_after_an_acknowledgement() {
    let mut buffer = replay_buffer::Buffer::new(LIMIT_BYTES);
    let replay_buffer::Attach::Ready(link) = buffer.attach(0) else {
        panic!("not attached");
    };
    while buffer.push(buffer.next(), text(0)) == replay_buffer::Push::Stored {}
    assert!(!buffer.has_room());
    buffer.take(link, usize::MAX);
    assert!(buffer.acknowledge(link, 3));
    assert!(buffer.has_room());
    assert_eq!(
        buffer.push(buffer.next(), text(0)),
        replay_buffer::Push::Stored
    );
}

#[test]
fn ids_parse_back_to_the_same_text() {
    for seed in 0..CASES {
        let mut random = Gen::from_size_and_seed(20, seed);
        let id = generation::Id {
            incarnation: format!("{:x}", u64::arbitrary(&mut random)),
            number: u64::arbitrary(&mut random),
            upstream: format!("up~{}", u8::arbitrary(&mut random)),
        };
        assert_eq!(id.to_string().parse(), Ok(id));
        let noise = String::arbitrary(&mut random);
        if let Ok(id) = noise.parse::<generation::Id>() {
            assert_eq!(id.to_string(), noise);
        }
    }
    let invalid = [
        "", "a", "a~b", "~b~1", "a~~1", "a~b~", "a~b~-1", "a~b~01", "a~b~+1",
    ];
    for text in invalid {
        assert!(text.parse::<generation::Id>().is_err(), "{text}");
    }
}
