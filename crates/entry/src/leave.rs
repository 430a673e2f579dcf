//! What becomes of a generation whose caller has left.

use core::time;

use tokio::time as clock;

use crate::app;
use crate::link;

/// Cancels a generation after the grace in which its caller may resume it.
///
/// A link that another connection has taken over brings a failure first and is left alone.
pub(crate) async fn cancel_after(app: &app::App, mut link: link::Link, grace: time::Duration) {
    let over = clock::sleep(grace);
    tokio::pin!(over);
    let mut timer = clock::interval(link::TICK_PERIOD);
    loop {
        tokio::select! {
            biased;
            () = &mut over => return link.cancel(),
            // The agent cancels what nobody resumes.
            () = app.stop.cancelled(), if !grace.is_zero() => return,
            _ = timer.tick() => link.tick(),
            event = link.next() => match event {
                link::Event::Failed(_) | link::Event::Finished(_) | link::Event::Lost => return,
                link::Event::Accepted(_) | link::Event::Chunk(_) => {}
            },
        }
    }
}
