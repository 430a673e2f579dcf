//! Routing documents as they arrive from the control hosts.

use std::sync;

use peargap_adapters::document as transfer;
use peargap_adapters::logs;
use peargap_core::document_fetch;
use peargap_core::document_history;
use peargap_core::document_transfer;
use peargap_core::routes;
use peargap_platform::document;
use peargap_wire::fleet as wire;

use crate::events;
use crate::fleet;
use crate::fleet_state;

impl fleet::Fleet {
    /// Applies a document that a control host has sent whole, in one message.
    pub(crate) fn receive_document(&self, host: &str, document: wire::Document) {
        {
            let mut state = self.lock();
            state.fetch.record_answer(host);
            if document.version <= state.version {
                return;
            }
            state.fetch.record_reading(document.version);
        }
        self.read_beside(document.version, move |fleet| {
            let text = document_history::Text::new(document.version, document.text);
            fleet.apply_text(text);
        });
    }

    /// Records a piece of a document, and applies the document if it is complete.
    pub(crate) fn receive_piece(&self, host: &str, piece: wire::Piece) {
        let Some(piece) = transfer::decode_piece(piece) else {
            return;
        };
        let now = self.clock.now();
        let (outcome, held) = {
            let mut state = self.lock();
            let version = state.version;
            let outcome = state.fetch.record_piece(now, host, version, &piece);
            (outcome, state.document.clone())
        };
        let received = match outcome {
            document_fetch::Outcome::Complete(received) => received,
            document_fetch::Outcome::Ignored | document_fetch::Outcome::More => return,
        };
        log_received(host, received.header);
        let host = host.to_owned();
        self.read_beside(
            received.header.version,
            move |fleet| match transfer::decode(&received, held.as_deref()) {
                Ok(text) => fleet.apply_text(text),
                Err(error) => fleet.record_damage(&host, received.header, &error),
            },
        );
    }

    /// Reads a document on another thread, as answers to callers would else wait for a large one.
    fn read_beside(&self, version: u64, read: impl FnOnce(&fleet::Fleet) + Send + 'static) {
        let fleet = self.clone();
        let reading = tokio::task::spawn_blocking(move || read(&fleet));
        let fleet = self.clone();
        tokio::spawn(async move {
            // A text on which reading panics is not requested again.
            if reading.await.is_err() {
                fleet.lock().fetch.record_settled(version);
            }
        });
    }

    /// Applies a text and keeps it as the base of the next difference.
    fn apply_text(&self, text: document_history::Text) {
        let version = text.version;
        match document::read_document(&text.bytes) {
            Ok(table) => self.apply_table(table, text),
            Err(findings) => logs::emit(
                events::DOCUMENT_REJECTED,
                format_args!("version={version} why={findings:?}"),
            ),
        }
        self.lock().fetch.record_settled(version);
        // Links whose hosts have a newer document wait for this one to end.
        self.news.send_modify(|count| *count += 1);
    }

    /// Replaces the routing table unless the current one is at least as new.
    fn apply_table(&self, table: routes::Table, text: document_history::Text) {
        let mut state = self.lock();
        if table.version() <= state.version {
            return;
        }
        let version = table.version();
        state.version = version;
        let former = state.table.replace(sync::Arc::new(table));
        state.fetch.record_applied(version);
        // A difference names its base by the version in force.
        let is_base = text.version == version;
        state.document = is_base.then(|| sync::Arc::new(text));
        let offered_ms = state.fetch.millis_since_offer(self.clock.now());
        logs::emit(
            events::DOCUMENT_APPLIED,
            format_args!("version={version} offered_ms={offered_ms}"),
        );
        drop(state);
        drop(former);
        self.notify_changed();
    }

    fn record_damage(
        &self,
        host: &str,
        header: document_transfer::Header,
        error: &transfer::Error,
    ) {
        logs::emit(
            events::TRANSFER_DAMAGED,
            format_args!(
                "version={} base={} control={host} why={error}",
                header.version, header.base
            ),
        );
        let now = self.clock.now();
        self.lock().fetch.record_damage(now, host);
        self.news.send_modify(|count| *count += 1);
    }
}

impl fleet_state::State {
    /// Returns what a control host is to be told of the document that this gateway has.
    pub(crate) fn describe_held(&self) -> document_history::Held {
        let arrival = self.fetch.arrival();
        let usable = self.document.as_ref();
        let usable = usable.filter(|_text| !self.fetch.wants_whole());
        document_history::Held {
            digest: usable.map_or(0, |text| text.digest),
            received: arrival.map_or(0, document_transfer::Arrival::received),
            transfer: arrival.map(document_transfer::Arrival::header),
            version: usable.map_or(0, |text| text.version),
        }
    }
}

/// Logs a host that has not sent the next piece in time.
pub(crate) fn log_stall(stall: &document_fetch::Stall) {
    logs::emit(
        events::TRANSFER_STALLED,
        format_args!(
            "version={} received={} control={}",
            stall.version, stall.received, stall.host
        ),
    );
}

fn log_received(host: &str, header: document_transfer::Header) {
    logs::emit(
        events::TRANSFER_RECEIVED,
        format_args!(
            "version={} base={} bytes={} control={host}",
            header.version, header.base, header.total
        ),
    );
}
