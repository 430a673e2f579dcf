//! Waits until processes report that they are ready.

use core::time;

use bytes::Bytes;

use crate::client;

/// Interval between two requests to the same URL.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Polls every URL until it answers 2xx; returns the first that did not within `limit`.
pub async fn wait_ready(urls: &[String], limit: time::Duration) -> Result<(), String> {
    let deadline = tokio::time::Instant::now() + limit;
    let client = client::Client::new("");
    for url in urls {
        loop {
            if is_ready(&client, url).await {
                break;
            }
            if tokio::time::Instant::now() > deadline {
                return Err(url.clone());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
    Ok(())
}

async fn is_ready(client: &client::Client, url: &str) -> bool {
    let request = http::Request::get(url.to_owned());
    let answer = client.call(request, Bytes::new()).await;
    answer.is_ok_and(|answer| answer.status.is_success())
}
