//! Bodies of responses that are read whole before they are forwarded.

use std::sync;
use std::time;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body;
use peargap_adapters::body_budget;
use peargap_adapters::body_buffer;
use peargap_adapters::logs;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

use crate::events;
use crate::settings;
use crate::unread;

/// Bytes of a body from which on it counts as large.
const LARGE_BODY_BYTES: usize = 256 << 10;
/// Large bodies that are read at the same time; further ones wait.
const MAX_LARGE_BODIES: usize = 4;
/// Time for which a large body waits until callers have read enough of others.
const ROOM_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Why a body was not read to its end.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Error {
    /// The connection failed, for this reason.
    Broken(String),
    /// It was ended, as bodies that arrive take more memory than allowed.
    NoMemory,
    /// The body is longer than allowed.
    TooLong,
}

impl core::fmt::Display for Error {
    fn fmt(&self, formatter: &mut core::fmt::Formatter<'_>) -> core::fmt::Result {
        match self {
            Error::Broken(why) => formatter.write_str(why),
            Error::NoMemory => formatter.write_str("no memory for the response body"),
            Error::TooLong => formatter.write_str("response body longer than allowed"),
        }
    }
}

/// Reads bodies within bounds of memory, which all clones share.
#[derive(Clone, Debug)]
pub(crate) struct Reader {
    large: sync::Arc<Semaphore>,
    limits: settings::ResponseLimits,
}

impl Reader {
    /// Returns a reader with these bounds.
    pub(crate) fn new(limits: settings::ResponseLimits) -> Reader {
        Reader {
            large: sync::Arc::new(Semaphore::new(MAX_LARGE_BODIES)),
            limits,
        }
    }

    /// Returns the bounds of a response.
    pub(crate) fn limits(&self) -> settings::ResponseLimits {
        self.limits
    }

    /// Reads a body to its end. `arriving` counts it meanwhile, and `hold` until the caller has read it.
    pub(crate) async fn read(
        &self,
        body: body::Incoming,
        arriving: body_budget::Hold,
        hold: body_budget::Hold,
    ) -> Result<unread::Body, Error> {
        let (bytes, permit) = tokio::select! {
            biased;
            () = arriving.ended() => return Err(Error::NoMemory),
            read = self.read_whole(body, &arriving) => read?,
        };
        drop(arriving);
        match permit {
            Some(_permit) => hold.count_body_when_room(&bytes, ROOM_TIMEOUT).await,
            None => hold.count_body(&bytes),
        }
        Ok(unread::Body::new(hold, bytes))
    }

    /// Returns the whole body, with a permit if it is large. One with a permit no longer counts while it
    /// arrives, as there are few of them.
    async fn read_whole(
        &self,
        mut body: body::Incoming,
        arriving: &body_budget::Hold,
    ) -> Result<(Bytes, Option<OwnedSemaphorePermit>), Error> {
        let mut buffer = body_buffer::Buffer::new(arriving.clone());
        let mut permit = None;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| Error::Broken(error.to_string()))?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if buffer.len() + data.len() > self.limits.body_bytes {
                logs::emit(
                    events::RESPONSE_TOO_LONG,
                    format_args!("part=body limit={}", self.limits.body_bytes),
                );
                return Err(Error::TooLong);
            }
            buffer.push(&data).await;
            if permit.is_none() && buffer.len() > LARGE_BODY_BYTES {
                let acquired = self.large.clone().acquire_owned().await;
                permit = Some(acquired.map_err(|error| Error::Broken(error.to_string()))?);
                buffer.release();
            }
        }
        Ok((buffer.freeze(), permit))
    }
}
