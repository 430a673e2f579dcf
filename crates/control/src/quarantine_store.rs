//! The evidence on what crashes upstreams, in a file of the data folder.
//!
//! Gateways and control hosts tell each other the evidence, so the file matters only if all of them
//! end at once.

use std::path;
use std::time;

use bytes::Bytes;
use peargap_adapters::evidence;
use peargap_adapters::logs;
use peargap_wire::fleet as wire;
use prost::Message as _;
use tokio_util::sync::CancellationToken;

use crate::events;
use crate::files;
use crate::fleet;
use crate::volume;

const FILE: &str = "quarantine";
/// Time for which changes are collected before they are written.
const WRITE_DELAY: time::Duration = time::Duration::from_millis(200);
/// Time after which a failed write is tried again.
const RETRY_DELAY: time::Duration = time::Duration::from_secs(1);

/// Stores the evidence of a control host.
#[derive(Debug)]
pub(crate) struct Store {
    fleet: fleet::Fleet,
    folder: path::PathBuf,
    /// Content of the file.
    stored: Bytes,
}

impl Store {
    /// Returns the store in a data folder, and adds what it holds to the fleet. A file that cannot be read
    /// is replaced with the next change: other hosts may have the same evidence.
    pub(crate) fn open(folder: &path::Path, fleet: fleet::Fleet) -> Store {
        let path = folder.join(FILE);
        let read = files::read_file(&volume::Local, &path).and_then(|content| {
            let content = content.unwrap_or_default();
            let decoded = wire::StoredEvidence::decode(content.clone());
            let told = decoded.map_err(|_error| files::corrupt(&path, "it cannot be decoded"))?;
            Ok((content, evidence::decode_all(&told.evidence)))
        });
        let stored = match read {
            Ok((content, told)) => {
                fleet.record_evidence(&told, &[]);
                content
            }
            Err(error) => {
                logs::emit(events::EVIDENCE_NOT_READ, format_args!("why={error}"));
                Bytes::new()
            }
        };
        Store {
            fleet,
            folder: folder.to_owned(),
            stored,
        }
    }

    /// Writes the evidence after each change, until `token` is cancelled.
    pub(crate) async fn keep(mut self, token: CancellationToken) {
        let mut changes = self.fleet.watch_changes();
        loop {
            let delay = match self.write().await {
                Ok(()) => WRITE_DELAY,
                Err(error) => {
                    logs::emit(events::EVIDENCE_NOT_WRITTEN, format_args!("why={error}"));
                    changes.mark_changed();
                    RETRY_DELAY
                }
            };
            tokio::select! {
                () = token.cancelled() => return,
                result = changes.changed() => if result.is_err() { return },
            }
            tokio::time::sleep(delay).await;
        }
    }

    /// Writes the evidence if it differs from what the file holds.
    async fn write(&mut self) -> Result<(), files::Error> {
        let content = Bytes::from(self.fleet.lasting_evidence().encode_to_vec());
        if content == self.stored {
            return Ok(());
        }
        let folder = self.folder.clone();
        let payload = content.clone();
        let written = tokio::task::spawn_blocking(move || {
            files::replace_file(&volume::Local, &folder, FILE, &payload)
        });
        match written.await {
            Ok(result) => {
                result?;
            }
            // The runtime shuts down.
            Err(_cancelled) => return Ok(()),
        }
        self.stored = content;
        Ok(())
    }
}
