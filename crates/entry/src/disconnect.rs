//! Cancels the generation of a caller that has disconnected.

use core::time;

use tokio::time as clock;

use crate::app;
use crate::link;

/// Cancels a generation after the grace period in which its caller may resume it.
///
/// If the caller resumes, the agent ends this link with a failure first, and nothing is cancelled.
pub(crate) async fn cancel_after(app: &app::App, mut link: link::Link, grace: time::Duration) {
    let over = clock::sleep(grace);
    tokio::pin!(over);
    let mut timer = clock::interval(link::TICK_INTERVAL);
    loop {
        tokio::select! {
            biased;
            () = &mut over => return link.cancel(),
            // The agent itself cancels a generation that is not resumed.
            () = app.stop.cancelled(), if !grace.is_zero() => return,
            _ = timer.tick() => link.tick(),
            event = link.next() => match event {
                link::Event::Failed(_) | link::Event::Finished(_) | link::Event::Lost => return,
                link::Event::Accepted(_) | link::Event::Chunk(_) => {}
            },
        }
    }
}
