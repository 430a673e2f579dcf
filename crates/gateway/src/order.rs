//! Orders to an engine's own API.
//!
//! An answer to an order names neither the order nor a generation, so it is read from a connection that
//! carries one order and is closed after it. An engine in a pause gets no orders but those that stop a
//! run, and only with a permit.

use core::time::Duration;
use std::sync;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use http_body_util::Limited;
use peargap_adapters::logs;
use peargap_core::pause;
use peargap_core::time::Instant;
use peargap_platform::engine;
use peargap_platform::head;

use crate::events;
use crate::notice;
use crate::placement;
use crate::pool;
use crate::unread;

/// Attempt ID of orders, which have none.
const NO_ATTEMPT: &[u8] = b"";
/// Bytes of an answer to an order at most. No budget counts them.
const MAX_ANSWER_BYTES: usize = 4 << 10;

/// An engine that takes orders.
#[derive(Clone, Debug)]
pub(crate) struct Engine {
    pub(crate) name: String,
    notices: notice::Recorder,
    pool: sync::Arc<pool::Pool>,
}

/// Permit to send one order to an engine, also in its pause. One that is not used is returned.
#[derive(Debug)]
pub(crate) struct Permit {
    /// When the pause began that the order counts to, if it does.
    began: Option<Instant>,
    notices: notice::Recorder,
}

impl Permit {
    /// Returns whether it counts to a pause, so that it holds in that pause.
    pub(crate) fn is_counted(&self) -> bool {
        self.began.is_some()
    }

    /// Uses the permit for an order that is sent now.
    fn spend(mut self) {
        self.began = None;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(began) = self.began {
            self.notices.return_permit(began);
        }
    }
}

/// Why an order got no answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Error {
    /// The engine may have got the order; the error.
    Broken(String),
    /// The engine is in a pause, which lasts for this time; nothing was sent.
    Paused(Duration),
    /// No connection could be opened.
    Unreachable(pool::Error),
}

impl Engine {
    /// Returns the engine at `placement`.
    pub(crate) fn at(placement: &placement::Placement) -> Engine {
        Engine {
            name: placement.name.clone(),
            notices: placement.notices.clone(),
            pool: placement.pool.clone(),
        }
    }

    /// Takes a permit for one order; fails with the time after which to ask again if the engine is in a
    /// pause that allows no further orders.
    pub(crate) fn permit(&self) -> Result<Permit, Duration> {
        let began = match self.notices.permit_order() {
            pause::Permit::Counted(began) => Some(began),
            pause::Permit::Denied(left) => return Err(left),
            pause::Permit::Free => None,
        };
        let notices = self.notices.clone();
        Ok(Permit { began, notices })
    }

    /// Returns a permit for an order that is not sent in a pause.
    fn permit_outside_pauses(&self) -> Result<Permit, Error> {
        if let Some(left) = self.notices.orders_left() {
            return Err(Error::Paused(left));
        }
        let notices = self.notices.clone();
        Ok(Permit {
            began: None,
            notices,
        })
    }

    /// Orders a copy of a generation's memory to the engine at the address `target`; the generation goes
    /// on.
    pub(crate) async fn copy(&self, attempt: &str, target: &str) -> Result<engine::Moved, Error> {
        let permit = self.permit_outside_pauses()?;
        let request = engine::build_move(attempt, target, false);
        let (status, body) = self.call(request, permit).await?;
        Ok(engine::read_move(status, &body))
    }

    /// Orders a generation to stop, and its memory to be copied to the engine at the address `target`.
    pub(crate) async fn stop(
        &self,
        attempt: &str,
        target: &str,
        permit: Permit,
    ) -> Result<engine::Moved, Error> {
        let request = engine::build_move(attempt, target, true);
        let (status, body) = self.call(request, permit).await?;
        Ok(engine::read_move(status, &body))
    }

    /// Orders the memory with this handle to be freed; returns whether the engine has done it.
    pub(crate) async fn free(&self, handle: &str) -> Result<bool, Error> {
        let Some(request) = engine::build_free(handle) else {
            return Ok(false);
        };
        let permit = self.permit_outside_pauses()?;
        let (status, _body) = self.call(request, permit).await?;
        Ok(status.is_success())
    }

    /// Sends an order and returns its answer. On a connection that the engine has dropped while it was
    /// idle the order is lost, and it is sent again on a new one.
    async fn call(
        &self,
        request: http::Request<Bytes>,
        permit: Permit,
    ) -> Result<(http::StatusCode, Bytes), Error> {
        // An order that counts to a pause is not risked on an idle connection.
        let connection = match permit.is_counted() {
            true => self.pool.open_for_order().await,
            false => self.pool.acquire_for_order().await,
        };
        let connection = connection.map_err(Error::Unreachable)?;
        permit.spend();
        match self.call_on(connection, request.clone()).await {
            Err(Lost::Stale(why)) => {
                logs::emit(
                    events::ORDER_SENT_AGAIN,
                    format_args!("upstream={} order={} why={why}", self.name, request.uri()),
                );
                let connection = self.pool.open_for_order().await;
                let connection = connection.map_err(Error::Unreachable)?;
                let sent = self.call_on(connection, request).await;
                sent.map_err(|lost| Error::Broken(lost.why()))
            }
            sent => sent.map_err(|lost| Error::Broken(lost.why())),
        }
    }

    async fn call_on(
        &self,
        connection: pool::OrderConnection,
        request: http::Request<Bytes>,
    ) -> Result<(http::StatusCode, Bytes), Lost> {
        self.notices.record_sent();
        let request = request.map(unread::Body::new_uncounted);
        let (response, _open) = connection.send_request(request).await.map_err(Lost::of)?;
        let (parts, body) = response.into_parts();
        let parsed = head::read_response(parts.status, &parts.headers, NO_ATTEMPT);
        self.notices.record_response(&parsed);
        // The connection may have carried a request, whose answer is written once more.
        if parsed.owner == head::Owner::Another {
            let why = format!("response {} belongs to a request", parts.status);
            return Err(Lost::Answer(why));
        }
        let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
        let body = body.map_err(|error| Lost::Answer(error.to_string()))?;
        Ok((parts.status, body.to_bytes()))
    }
}

/// Why an order that was sent got no answer.
#[derive(Debug)]
enum Lost {
    /// The answer failed, or there was none.
    Answer(String),
    /// The connection failed, which had been idle.
    Stale(String),
}

impl Lost {
    fn of(error: pool::OrderError) -> Lost {
        let why = error.why.to_string();
        match error.is_stale {
            true => Lost::Stale(why),
            false => Lost::Answer(why),
        }
    }

    fn why(self) -> String {
        match self {
            Lost::Answer(why) | Lost::Stale(why) => why,
        }
    }
}
