//! Reads the body of a request whole.

use bytes::Bytes;
use bytes::BytesMut;
use http_body::Body;
use http_body_util::BodyExt as _;

use crate::intake;

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
    let mut bytes = BytesMut::new();
    let mut body = core::pin::pin!(body);
    loop {
        let frame = tokio::select! {
            biased;
            () = hold.ended() => return Err(Error::Ended),
            frame = body.frame() => frame,
        };
        let Some(frame) = frame else {
            request.complete();
            return Ok(bytes.freeze());
        };
        let frame = frame.map_err(|error| Error::Broken(error.to_string()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if data.len() > limit - bytes.len() {
            return Err(Error::TooLong);
        }
        hold.arrive(data.len());
        if hold.is_ended() {
            return Err(Error::Ended);
        }
        bytes.extend_from_slice(&data);
    }
}
