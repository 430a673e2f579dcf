//! Generations that a runner runs.

use std::sync::atomic;

use bytes::Bytes;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::runner;

/// An event of a stream, or its interruption.
pub(super) type Event = Result<Bytes, std::io::Error>;

/// A generation that is running; it counts as such until it is dropped.
#[derive(Debug)]
pub(super) struct Generation {
    attempt: String,
    /// Number among the streams of its runner.
    number: u64,
    runner: runner::Runner,
    /// Cancelled by the order to stop it.
    stop: CancellationToken,
}

/// What a generation does.
#[derive(Clone, Copy, Debug)]
pub(super) struct Plan {
    /// Number of the last event that its caller has.
    pub(super) after: u64,
    /// Whether it crashes the process in place of its first event.
    pub(super) crashes: bool,
}

/// What a generation does next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Next {
    Continue,
    Stop,
}

impl Generation {
    pub(super) fn start(runner: &runner::Runner, attempt: &str) -> Generation {
        let inner = &runner.inner;
        inner.running.fetch_add(1, atomic::Ordering::SeqCst);
        let number = inner.streams.fetch_add(1, atomic::Ordering::SeqCst) + 1;
        let stop = CancellationToken::new();
        let mut state = runner.lock();
        state
            .generations
            .insert(attempt.to_owned(), (number, stop.clone()));
        drop(state);
        Generation {
            attempt: attempt.to_owned(),
            number,
            runner: runner.clone(),
            stop,
        }
    }

    /// Produces events until the last one, an order to stop or a crash. It is dropped with its
    /// connection unless the runner works on.
    pub(super) async fn run(self, plan: Plan, sender: mpsc::Sender<Event>) {
        let (events, interval, works_on, crash) = {
            let state = self.runner.lock();
            let crash = state.crash.clone();
            (state.events, state.event_interval, state.works_on, crash)
        };
        let mut sender = Some(sender);
        for id in plan.after + 1..=events {
            tokio::select! {
                biased;
                () = self.stop.cancelled() => return interrupt(sender).await,
                () = crash.cancelled() => return interrupt(sender).await,
                () = wait_closed(sender.as_ref()), if !works_on => return,
                () = tokio::time::sleep(interval) => {}
            }
            if plan.crashes {
                self.runner.crash();
            }
            if self.produce(id, &mut sender).await == Next::Stop && !works_on {
                return;
            }
        }
    }

    /// Sends an event, or interrupts the stream.
    async fn produce(&self, id: u64, sender: &mut Option<mpsc::Sender<Event>>) -> Next {
        let inner = &self.runner.inner;
        inner.produced_events.fetch_add(1, atomic::Ordering::SeqCst);
        if inner.interrupted_streams.load(atomic::Ordering::SeqCst) >= self.number {
            interrupt(sender.take()).await;
            return Next::Stop;
        }
        let event = Bytes::from(format!("id: {id}\ndata: t{id}\n\n"));
        match sender {
            Some(open) if open.send(Ok(event)).await.is_ok() => Next::Continue,
            _ => Next::Stop,
        }
    }
}

impl Drop for Generation {
    fn drop(&mut self) {
        let inner = &self.runner.inner;
        inner.running.fetch_sub(1, atomic::Ordering::SeqCst);
        let mut state = self.runner.lock();
        let known = state.generations.get(&self.attempt);
        // The same attempt may run here again.
        if known.is_some_and(|(number, _stop)| *number == self.number) {
            state.generations.remove(&self.attempt);
        }
    }
}

/// Breaks off a stream, if it is still sent.
async fn interrupt(sender: Option<mpsc::Sender<Event>>) {
    if let Some(sender) = sender {
        // Fails if its caller has left.
        let _ = sender
            .send(Err(std::io::Error::other("stream interrupted")))
            .await;
    }
}

async fn wait_closed(sender: Option<&mpsc::Sender<Event>>) {
    match sender {
        Some(sender) => sender.closed().await,
        None => core::future::pending().await,
    }
}
