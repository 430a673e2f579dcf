//! Reads the body of a request whole.

use bytes::Bytes;
use bytes::BytesMut;
use http_body::Body;
use http_body_util::BodyExt as _;

use crate::intake;

/// Bytes of a body that are kept together until it is whole. A buffer that grows with a long body
/// leaves holes of all sizes in memory, which take several times what the bodies do.
const SEGMENT_BYTES: usize = 16 << 10;

/// Why a body was not read to its end.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
    /// The connection failed, for this reason.
    Broken(String),
    /// The memory for callers is used up.
    Ended,
    /// It is longer than allowed.
    TooLong,
}

/// Reads the body of a request up to `limit` bytes; `request` counts it from its first byte until
/// the request has ended.
///
/// Each frame is copied at once, as it would keep the buffer that it was read into. A body that is
/// announced to be too long is not read.
pub async fn read<B>(body: B, limit: usize, request: &intake::Request) -> Result<Bytes, Error>
where
    B: Body<Data = Bytes>,
    B::Error: core::fmt::Display,
{
    let max = u64::try_from(limit).unwrap_or(u64::MAX);
    if body.size_hint().lower() > max {
        return Err(Error::TooLong);
    }
    let hold = request.hold();
    let mut segments = Segments::default();
    let mut body = core::pin::pin!(body);
    loop {
        let frame = tokio::select! {
            biased;
            () = hold.ended() => return Err(Error::Ended),
            frame = body.frame() => frame,
        };
        let Some(frame) = frame else {
            request.complete();
            return Ok(segments.join());
        };
        let frame = frame.map_err(|error| Error::Broken(error.to_string()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if data.len() > limit - segments.length {
            return Err(Error::TooLong);
        }
        hold.arrive(segments.count_growth(data.len()));
        if hold.is_ended() {
            return Err(Error::Ended);
        }
        segments.append(&data);
    }
}

/// The bytes of a body that have arrived.
#[derive(Debug, Default)]
struct Segments {
    full: Vec<BytesMut>,
    last: BytesMut,
    length: usize,
}

impl Segments {
    /// Returns the memory that this many more bytes take.
    fn count_growth(&self, bytes: usize) -> usize {
        count_memory(self.length + bytes) - count_memory(self.length)
    }

    fn append(&mut self, data: &[u8]) {
        let mut rest = data;
        while !rest.is_empty() {
            if self.last.len() == SEGMENT_BYTES {
                let next = BytesMut::with_capacity(SEGMENT_BYTES);
                self.full.push(core::mem::replace(&mut self.last, next));
            }
            let length = rest.len().min(SEGMENT_BYTES - self.last.len());
            let (now, later) = rest.split_at(length);
            self.last.extend_from_slice(now);
            rest = later;
        }
        self.length += data.len();
    }

    fn join(self) -> Bytes {
        if self.full.is_empty() {
            return self.last.freeze();
        }
        let mut whole = BytesMut::with_capacity(self.length);
        for segment in self.full.into_iter().chain([self.last]) {
            whole.extend_from_slice(&segment);
        }
        whole.freeze()
    }
}

/// Returns the memory that a body of this length takes until it is whole. The first segment grows with
/// its bytes.
fn count_memory(length: usize) -> usize {
    match length {
        0..=SEGMENT_BYTES => length,
        _longer => length.div_ceil(SEGMENT_BYTES) * SEGMENT_BYTES,
    }
}
