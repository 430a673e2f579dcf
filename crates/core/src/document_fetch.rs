//! Which control host a gateway requests a routing document from, and when again.
//!
//! Every control host announces the versions that it has. One of them is asked for the newest one,
//! piece by piece; nothing else is requested meanwhile, so that a thin link carries each byte once.
//! A host may be unable to answer although its announcements still arrive: when no piece has come for
//! a while, which grows with the time that pieces take, another host is asked for the rest.

use core::time::Duration;
use std::collections;

use crate::document_transfer;
use crate::time::Instant;

/// Time that a host has to send the next piece before another one is asked for it, unless pieces take
/// long.
pub const TIMEOUT: Duration = Duration::from_millis(250);
/// Longest time that a host has to send the next piece.
const MAX_TIMEOUT: Duration = Duration::from_secs(1);
/// The time that a host has, as a multiple of the time that recent pieces took.
const TIMEOUT_PER_PIECE_TIME: u32 = 4;
/// Time after which a host that has not answered may be asked again although there are others:
/// their links may be blocked.
const SECOND_TIMEOUT: Duration = Duration::from_millis(500);

/// A request that has not been answered.
#[derive(Clone, Debug)]
struct Request {
    host: String,
    /// Whether the next piece has yet to be asked for.
    is_due: bool,
    sent_at: Instant,
    version: u64,
}

/// What the link to a host should do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Next {
    /// Request the next piece of this version, or of a newer one, from the host.
    Request(u64),
    /// Wait: the document is up to date, arriving, or left to another host.
    Wait,
}

/// What has come of a piece.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The transfer is complete.
    Complete(document_transfer::Transfer),
    /// It is of no use: known, or not the next one.
    Ignored,
    /// The next piece is to be requested.
    More,
}

/// A host that has not sent the next piece in time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Stall {
    /// The host.
    pub host: String,
    /// Bytes of the transfer that have arrived, from any host.
    pub received: usize,
    /// Requested version.
    pub version: u64,
}

/// Offers and requests of documents, over all control hosts.
#[derive(Clone, Debug, Default)]
pub struct Fetch {
    /// The transfer that is arriving.
    arrival: Option<document_transfer::Arrival>,
    /// Version whose text has arrived and is being read.
    reading: Option<u64>,
    /// Newest version that each connected host has.
    offers: collections::BTreeMap<String, u64>,
    pending: Option<Request>,
    /// Time that recent pieces took.
    piece_time: Duration,
    /// Newest version whose text has been read, whether the gateway can use it or not.
    settled: u64,
    /// When the last request was sent.
    requested_at: Instant,
    /// When the newest version was first offered.
    offered_at: Instant,
    /// Nothing is requested before.
    retry_at: Instant,
    stall: Option<Stall>,
    /// Hosts that have not answered their last request in time.
    unanswered: collections::BTreeSet<String>,
    /// When the piece that is awaited was first requested.
    wait_since: Option<Instant>,
    /// Whether a difference did not give the text that it should have.
    wants_whole: bool,
}

impl Fetch {
    /// Records that a host has a version.
    pub fn record_offer(&mut self, now: Instant, host: &str, version: u64) {
        let newest = self.offers.values().max().copied().unwrap_or(0);
        if version > newest {
            self.offered_at = now;
        }
        let offer = self.offers.entry(host.to_owned()).or_default();
        *offer = version.max(*offer);
    }

    /// Records that a host has sent a whole document in one message.
    pub fn record_answer(&mut self, host: &str) {
        self.unanswered.remove(host);
        self.pending.take_if(|request| request.host == host);
    }

    /// Records that the gateway starts to read a document. Nothing is requested until it is settled
    /// or found to be damaged, as the next difference applies to it.
    pub fn record_reading(&mut self, version: u64) {
        self.reading = Some(version);
    }

    /// Records a piece from a host, if the gateway has version `current`. If it completes a transfer,
    /// the gateway starts to read that.
    pub fn record_piece(
        &mut self,
        now: Instant,
        host: &str,
        current: u64,
        piece: &document_transfer::Piece,
    ) -> Outcome {
        self.unanswered.remove(host);
        if !self.is_useful(piece.header, current) || !self.add(host, piece) {
            return Outcome::Ignored;
        }
        self.measure_piece(now, host);
        let complete = self.arrival.take_if(|arrival| arrival.is_complete());
        if let Some(arrival) = complete {
            self.pending = None;
            self.record_reading(arrival.header().version);
            return Outcome::Complete(arrival.finish());
        }
        // The host that sends is asked for the next piece, also if another one was asked meanwhile.
        self.pending = Some(Request {
            host: host.to_owned(),
            is_due: true,
            sent_at: now,
            version: piece.header.version,
        });
        Outcome::More
    }

    /// Records that what a host sent does not give the text that it should. After a difference, the
    /// whole text is requested; after that, another attempt is made later.
    pub fn record_damage(&mut self, now: Instant, host: &str) {
        self.reading = None;
        self.unanswered.insert(host.to_owned());
        if core::mem::replace(&mut self.wants_whole, true) {
            self.retry_at = now + MAX_TIMEOUT;
        }
    }

    /// Records that a version is in force.
    pub fn record_applied(&mut self, version: u64) {
        self.wants_whole = false;
        self.wait_since = None;
        let arrival = self.arrival.take();
        self.arrival = arrival.filter(|arrival| self.is_useful(arrival.header(), version));
    }

    /// Records that the text of a version has been read. It is not requested again, also if the
    /// gateway cannot use it.
    pub fn record_settled(&mut self, version: u64) {
        self.reading = None;
        self.settled = self.settled.max(version);
    }

    /// Forgets a host whose link has ended.
    pub fn forget(&mut self, host: &str) {
        self.offers.remove(host);
        self.unanswered.remove(host);
        let request = self.pending.take_if(|request| request.host == host);
        if request.is_some() {
            self.wait_since = None;
        }
    }

    /// Returns the time since the newest version was first offered.
    #[must_use]
    pub fn millis_since_offer(&self, now: Instant) -> u64 {
        now.millis_since(self.offered_at)
    }

    /// Returns whether a host has a newer version than `current`.
    #[must_use]
    pub fn is_behind(&self, host: &str, current: u64) -> bool {
        let known = current.max(self.settled);
        let offer = self.offers.get(host);
        offer.is_some_and(|version| *version > known)
    }

    /// Returns whether only a whole text is of use, as a difference did not apply.
    #[must_use]
    pub fn wants_whole(&self) -> bool {
        self.wants_whole
    }

    /// Returns the transfer that is arriving.
    #[must_use]
    pub fn arrival(&self) -> Option<&document_transfer::Arrival> {
        self.arrival.as_ref()
    }

    /// Returns the host that was last found not to answer, once.
    pub fn take_stall(&mut self) -> Option<Stall> {
        self.stall.take()
    }

    /// Returns what to do on the link to a host if the gateway has version `current`, and records
    /// the request.
    pub fn next(&mut self, now: Instant, host: &str, current: u64) -> Next {
        self.end_request(now, current);
        if let Some(request) = &mut self.pending {
            if request.host != host || !core::mem::take(&mut request.is_due) {
                return Next::Wait;
            }
            self.wait_since = Some(now);
            return Next::Request(request.version);
        }
        if self.reading.is_some() || now < self.retry_at {
            return Next::Wait;
        }
        if !self.is_behind(host, current) || self.should_leave_to_others(now, host, current) {
            return Next::Wait;
        }
        let version = self.offers.get(host).copied().unwrap_or(0);
        self.wait_since.get_or_insert(now);
        self.requested_at = now;
        self.pending = Some(Request {
            host: host.to_owned(),
            is_due: false,
            sent_at: now,
            version,
        });
        Next::Request(version)
    }

    /// Returns whether a transfer gives a newer text: a difference does so only from the one in force.
    fn is_useful(&self, header: document_transfer::Header, current: u64) -> bool {
        let is_newer = header.version > current.max(self.settled);
        self.reading.is_none() && is_newer && (header.base == 0 || header.base == current)
    }

    /// Adds a piece to what has arrived; returns whether it is the next one.
    fn add(&mut self, host: &str, piece: &document_transfer::Piece) -> bool {
        let is_next = self
            .arrival
            .as_mut()
            .is_some_and(|arrival| arrival.add(piece));
        if is_next {
            return true;
        }
        // A host that does not know the transfer any more starts another one.
        let is_asked = self
            .pending
            .as_ref()
            .is_some_and(|request| request.host == host);
        let is_known = self
            .arrival
            .as_ref()
            .is_some_and(|arrival| arrival.header() == piece.header || !is_asked);
        if is_known && !piece.is_whole() {
            return false;
        }
        let Some(arrival) = document_transfer::Arrival::start(piece) else {
            return false;
        };
        self.arrival = Some(arrival);
        true
    }

    /// Measures the time that a piece took: from its request, or from the first one to any host if it
    /// comes from one that is no longer asked.
    fn measure_piece(&mut self, now: Instant, host: &str) {
        let first = self.wait_since.take();
        let last = self.pending.as_ref();
        let last = last.filter(|request| request.host == host);
        let since = last.map(|request| request.sent_at).or(first);
        let time = Duration::from_millis(now.millis_since(since.unwrap_or(now)));
        let time = time.min(MAX_TIMEOUT / TIMEOUT_PER_PIECE_TIME);
        self.piece_time = time.max(self.piece_time / 2);
    }

    fn timeout(&self) -> Duration {
        let timeout = self.piece_time.saturating_mul(TIMEOUT_PER_PIECE_TIME);
        timeout.clamp(TIMEOUT, MAX_TIMEOUT)
    }

    /// Ends the request if its version is in force, or no piece has come for too long.
    fn end_request(&mut self, now: Instant, current: u64) {
        self.pending.take_if(|request| request.version <= current);
        let timeout = self.timeout();
        let overdue = self
            .pending
            .take_if(|request| now >= request.sent_at + timeout);
        let Some(request) = overdue else {
            return;
        };
        self.unanswered.insert(request.host.clone());
        let arrival = self.arrival.as_ref();
        self.stall = Some(Stall {
            host: request.host,
            received: arrival.map_or(0, document_transfer::Arrival::received),
            version: request.version,
        });
    }

    fn should_leave_to_others(&self, now: Instant, host: &str, current: u64) -> bool {
        let offer = self.offers.get(host).copied().unwrap_or(0);
        let mut others = self
            .offers
            .iter()
            .filter(|(other, _version)| *other != host && !self.unanswered.contains(*other));
        // Only the newest version is of use.
        if others.clone().any(|(_other, version)| *version > offer) {
            return true;
        }
        let has_other = others.any(|(_other, version)| *version > current);
        let is_recent = now < self.requested_at.max(self.offered_at) + SECOND_TIMEOUT;
        self.unanswered.contains(host) && has_other && is_recent
    }
}
