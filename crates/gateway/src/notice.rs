//! What upstreams say of themselves in their responses: that they are leaving, or want a pause.

use core::time::Duration;

use peargap_adapters::logs;
use peargap_core::departures;
use peargap_core::pause;
use peargap_core::time::Instant;
use peargap_core::upstreams;
use peargap_platform::head;

use crate::events;
use crate::fleet;

/// Records what one start of an upstream says of itself.
#[derive(Clone, Debug)]
pub(crate) struct Recorder {
    born_ms: u64,
    fleet: fleet::Fleet,
    key: fleet::UpstreamKey,
}

impl Recorder {
    /// Returns a recorder for the start of an upstream that has this start time.
    pub(crate) fn new(fleet: &fleet::Fleet, key: fleet::UpstreamKey, born_ms: u64) -> Recorder {
        Recorder {
            born_ms,
            fleet: fleet.clone(),
            key,
        }
    }

    /// Returns the start time of the upstream's process by its own clock, in Unix milliseconds.
    pub(crate) fn born_ms(&self) -> u64 {
        self.born_ms
    }

    /// Records the notice in a response. One that names another request may be the late copy of an old
    /// one: its limit and its pause may be over, but an upstream that was leaving still is.
    pub(crate) fn record_response(&self, response: &head::Response) {
        self.record(match response.owner {
            head::Owner::Another => head::Notice {
                is_leaving: response.notice.is_leaving,
                ..head::Notice::default()
            },
            head::Owner::This | head::Owner::Unnamed => response.notice,
        });
    }

    fn record(&self, notice: head::Notice) {
        if let Some(request) = notice.pause {
            self.fleet.record_pause(self.key, self.born_ms, request);
        }
        if let Some(named) = notice.limit {
            self.fleet.record_limit(self.key, self.born_ms, named);
        }
        if notice.is_leaving {
            self.fleet.record_departure(self.key, self.born_ms);
        }
    }

    /// Records that a response names no limit; its request was sent at `sent_at`.
    pub(crate) fn record_no_limit(&self, sent_at: Instant) {
        self.fleet.record_no_limit(self.key, self.born_ms, sent_at);
    }

    /// Counts a request beside the one that the upstream was chosen for.
    pub(crate) fn record_sent(&self) {
        self.fleet.record_sent(self.key);
    }

    /// Returns whether a generation may continue at its copy by the limit that the upstream names;
    /// `None` without a limit.
    pub(crate) fn may_resume(&self) -> Option<bool> {
        self.fleet.may_resume(self.key)
    }

    /// Returns the current time.
    pub(crate) fn now(&self) -> Instant {
        self.fleet.clock.now()
    }

    /// Returns the time left of the upstream's pause; `None` outside of pauses.
    pub(crate) fn pause_left(&self) -> Option<Duration> {
        self.fleet.pause_left(self.key)
    }

    /// Returns the time left in which the upstream gets orders by a permit only; `None` outside of pauses.
    pub(crate) fn orders_left(&self) -> Option<Duration> {
        self.fleet.orders_left(self.key)
    }

    /// Takes a permit for an order to the upstream.
    pub(crate) fn permit_order(&self) -> pause::Permit {
        self.fleet.permit_order(self.key)
    }

    /// Takes back a permit for an order in the pause that began at `began`.
    pub(crate) fn return_permit(&self, began: Instant) {
        self.fleet.return_permit(self.key, began);
    }
}

impl fleet::Fleet {
    /// Starts a pause that an upstream asks for, or extends it.
    fn record_pause(&self, key: fleet::UpstreamKey, born_ms: u64, request: pause::Request) {
        let now = self.clock.now();
        let length = pause::bound(request);
        let mut state = self.lock();
        let upstream = state.upstreams.get_mut(key);
        let Some(upstream) = upstream.filter(|upstream| upstream.is_start(born_ms)) else {
            return;
        };
        let pause = pause::Pause::extend(upstream.pause, now, length, &mut rand::rng());
        upstream.keep_pause(pause);
        let name = upstream.status.name.clone();
        drop(state);
        logs::emit(
            events::PAUSE_STARTED,
            format_args!(
                "upstream={name} asked={request:?} kept={length:?} ends_in_ms={}",
                pause.end().millis_since(now)
            ),
        );
    }

    fn orders_left(&self, key: fleet::UpstreamKey) -> Option<Duration> {
        let state = self.lock();
        let pause = state.upstreams.get(key)?.pause?;
        pause.orders_left(self.clock.now())
    }

    fn permit_order(&self, key: fleet::UpstreamKey) -> pause::Permit {
        let now = self.clock.now();
        let mut state = self.lock();
        let upstream = state.upstreams.get_mut(key);
        upstream.map_or(pause::Permit::Free, |upstream| upstream.permit_order(now))
    }

    fn return_permit(&self, key: fleet::UpstreamKey, began: Instant) {
        let mut state = self.lock();
        let upstream = state.upstreams.get_mut(key);
        if let Some(pause) = upstream.and_then(|upstream| upstream.pause.as_mut()) {
            pause.return_permit(began);
        }
    }

    /// Returns the time left of an upstream's pause; `None` outside of pauses.
    fn pause_left(&self, key: fleet::UpstreamKey) -> Option<Duration> {
        let now = self.clock.now();
        let state = self.lock();
        let end = state.upstreams.get(key)?.paused_until(now)?;
        Some(Duration::from_millis(end.millis_since(now)))
    }

    /// Marks a start of an upstream as draining, and notes it for the control hosts.
    fn record_departure(&self, key: fleet::UpstreamKey, born_ms: u64) {
        let mut state = self.lock();
        let upstream = state.upstreams.get_mut(key);
        let Some(upstream) = upstream.filter(|upstream| upstream.is_start(born_ms)) else {
            return;
        };
        match upstream.status.state {
            upstreams::State::Draining | upstreams::State::Left => return,
            upstreams::State::Ready | upstreams::State::Silent => {}
        }
        upstream.status.state = upstreams::State::Draining;
        let name = upstream.status.name.clone();
        state.departures.push(departures::Departure {
            born_ms,
            upstream: name.clone(),
        });
        drop(state);
        logs::emit(
            events::UPSTREAM_LEAVING,
            format_args!("upstream={name} born_ms={born_ms}"),
        );
        self.notify_changed();
        self.news.send_modify(|count| *count += 1);
    }
}
