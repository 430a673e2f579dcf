//! Leaves of upstreams.
//!
//! A leave names an upstream and not its start. The host that is told of it may never have heard of
//! the upstream, or know only an earlier start of it, as an upstream's status is kept only by the host
//! that it calls. A gateway knows each upstream that it may send to, so all gateways are asked for the
//! current start before the leave is recorded and told to them.

use std::time;

use peargap_adapters::logs;
use peargap_core::upstreams;
use tokio::time::Instant;

use crate::events;
use crate::fleet;

/// Longest time to wait for the gateways' answers. One that does not answer by then is assumed to be
/// partitioned or stopped.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_millis(250);

/// A question to all gateways for the current start of an upstream.
#[derive(Clone, Debug)]
pub(crate) struct Question {
    /// The latest start that this host knew when it asked, in Unix milliseconds; 0 if it knew none.
    pub(crate) born_ms: u64,
    /// The latest of the starts that gateways named.
    pub(crate) found: Option<upstreams::Status>,
    /// Name of the upstream.
    pub(crate) upstream: String,
}

/// Withdraws a question when dropped.
struct Asked<'a> {
    /// The latest start that this host knew, in Unix milliseconds; `None` if it knew none.
    born_ms: Option<u64>,
    change: u64,
    fleet: &'a fleet::Fleet,
}

impl Drop for Asked<'_> {
    fn drop(&mut self) {
        self.fleet.lock().questions.remove(&self.change);
    }
}

impl fleet::Fleet {
    /// Records that an upstream leaves. Returns once the gateways have applied it or did not in
    /// time.
    pub(crate) async fn record_leave(&self, name: &str) {
        let since = Instant::now();
        let deadline = since + fleet::CONFIRM_TIMEOUT;
        let asked = self.ask(name);
        let known_here = asked.born_ms;
        let all_answered = self
            .wait_until_applied(asked.change, since + ANSWER_TIMEOUT)
            .await;
        let later = self.take_answer(&asked);
        drop(asked);
        let by_gateway = later.as_ref().map(|later| later.edition.born_ms);
        // The time of day is needed only if neither this host nor a gateway knows a start.
        let now_ms = unix_ms();
        let change = self.publish(|now, directory| {
            if let Some(later) = later {
                directory.merge(now, later);
            }
            directory.leave(now, name, now_ms)
        });
        // A repeated call waits for what the first one has changed.
        let change = change.or_else(|| self.find_change(name));
        logs::emit(
            events::LEAVE_RECORDED,
            format_args!(
                "upstream={name} known_here={known_here:?} by_gateway={by_gateway:?} \
                 all_answered={all_answered} waited_ms={}",
                since.elapsed().as_millis()
            ),
        );
        if let Some(change) = change {
            self.wait_until_applied(change, deadline).await;
        }
    }

    /// Records that one start of an upstream is leaving, as it told a gateway.
    pub(crate) fn record_departure(&self, name: &str, born_ms: u64) {
        self.publish(|now, directory| directory.drain(now, name, born_ms));
    }

    /// Records that one start of an upstream is leaving, as another control host was told. That host
    /// has told the gateways, so they are told only if this host has announced the start to them.
    pub(crate) fn record_relayed(&self, name: &str, born_ms: u64) {
        self.publish(|now, directory| {
            let is_announced = directory.takes_work(name, born_ms);
            let leaving = directory.drain(now, name, born_ms);
            leaving.filter(|_status| is_announced)
        });
    }

    /// Records a gateway's answer to a question.
    pub(crate) fn record_answer(&self, status: &upstreams::Status) {
        let mut state = self.lock();
        let asked = state.questions.values_mut();
        for question in asked.filter(|question| question.upstream == status.name) {
            let known = question.found.as_ref();
            if known.is_none_or(|known| known.edition < status.edition) {
                question.found = Some(status.clone());
            }
        }
    }

    /// Asks all gateways for the current start of an upstream.
    fn ask(&self, name: &str) -> Asked<'_> {
        let (born_ms, change) = {
            let mut state = self.lock();
            let known = state.directory.find(name);
            let born_ms = known.map(|known| known.edition.born_ms);
            let question = Question {
                born_ms: born_ms.unwrap_or(0),
                found: None,
                upstream: name.to_owned(),
            };
            let change = state.next_change();
            state.questions.insert(change, question);
            (born_ms, change)
        };
        self.last_change.send_replace(change);
        Asked {
            born_ms,
            change,
            fleet: self,
        }
    }

    /// Returns the latest start that gateways named. It counts as ready, so that all gateways are told
    /// that it leaves, even if the one that named it knows.
    fn take_answer(&self, asked: &Asked<'_>) -> Option<upstreams::Status> {
        let mut state = self.lock();
        let mut later = state.questions.get_mut(&asked.change)?.found.take()?;
        later.state = upstreams::State::Ready;
        Some(later)
    }

    fn find_change(&self, name: &str) -> Option<u64> {
        self.lock().changes_by_upstream.get(name).copied()
    }
}

/// Returns the time of day, in Unix milliseconds.
fn unix_ms() -> u64 {
    let now = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    let millis = now.map_or(0, |now| now.as_millis());
    u64::try_from(millis).unwrap_or(u64::MAX)
}
