//! Routing documents for the gateways: a difference or the whole text, piece by piece.

use std::sync;

use peargap_adapters::document;
use peargap_adapters::logs;
use peargap_core::document_history;
use peargap_core::document_transfer;
use peargap_core::routing;
use peargap_wire::fleet as wire;

use crate::events;

/// Request of a gateway.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Request {
    /// What the gateway has; `None` if it takes documents only whole, in one message.
    pub(crate) held: Option<document_history::Held>,
    /// Lowest version that the gateway takes.
    pub(crate) wanted: u64,
}

/// Answer to a request.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Answer {
    pub(crate) document: Option<wire::Document>,
    pub(crate) piece: Option<wire::Piece>,
}

/// The last request on a link, until it is answered; clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pending(sync::Arc<sync::Mutex<Option<Request>>>);

/// Recent documents and the transfers made of them, for all links; clones share them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Documents(sync::Arc<sync::Mutex<document_history::History>>);

impl Request {
    /// Returns the request in a report, if it has one.
    pub(crate) fn read(report: &wire::Report) -> Option<Request> {
        (report.wanted > 0).then(|| Request {
            held: report.held.as_ref().map(document::decode_held),
            wanted: report.wanted,
        })
    }
}

impl Pending {
    /// Records a request in place of the former one.
    pub(crate) fn record(&self, request: Request) {
        *self.lock() = Some(request);
    }

    /// Returns the request if `version` is new enough for it. A request for a newer one is kept.
    pub(crate) fn take(&self, version: u64) -> Option<Request> {
        self.lock().take_if(|request| request.wanted <= version)
    }

    fn lock(&self) -> sync::MutexGuard<'_, Option<Request>> {
        self.0.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl Documents {
    /// Records the document in force, as the base of later differences.
    pub(crate) fn record(&self, routing: &routing::Routing) {
        if routing.version > 0 {
            self.lock().record(routing.version, &routing.text);
        }
    }

    /// Returns the answer to a request.
    pub(crate) fn answer(&self, routing: &routing::Routing, request: Request) -> Answer {
        let Some(held) = request.held else {
            let document = wire::Document {
                text: routing.text.clone(),
                version: routing.version,
            };
            return Answer {
                document: Some(document),
                ..Answer::default()
            };
        };
        Answer {
            piece: self.cut_piece(&held).map(document::encode_piece),
            ..Answer::default()
        }
    }

    /// Returns the next piece. Holds the lock while a transfer is made, so that it is made once for
    /// all gateways that ask for it.
    fn cut_piece(&self, held: &document_history::Held) -> Option<document_transfer::Piece> {
        let mut history = self.lock();
        let transfer = match history.plan(held)? {
            document_history::Source::Difference(pair) => document::encode_difference(&pair),
            document_history::Source::Piece(piece) => return Some(piece),
            document_history::Source::Whole(text) => document::encode_whole(&text),
        };
        match transfer {
            Ok(transfer) => {
                let header = transfer.header;
                logs::emit(
                    events::TRANSFER_MADE,
                    format_args!(
                        "version={} base={} bytes={}",
                        header.version, header.base, header.total
                    ),
                );
                Some(history.keep(transfer, held))
            }
            Err(error) => {
                logs::emit(events::TRANSFER_NOT_MADE, format_args!("why={error}"));
                None
            }
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, document_history::History> {
        self.0.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}
