//! Gateway: routes callers' requests to upstreams that register themselves.
//!
//! Every control host streams routes, failure domains out of service and upstream states to it;
//! requests go directly to the upstreams. A generation continues at another engine when its own
//! engine leaves or fails.

mod attempts;
mod call;
mod candidates;
mod crash;
mod documents;
mod event_buffer;
mod events;
mod explain;
mod fleet;
mod fleet_state;
mod follow;
mod gateway;
mod generation;
mod limits;
mod load_exchange;
mod load_reporter;
mod meters;
mod migrate;
mod news;
mod notice;
mod order;
mod paces;
mod placement;
mod plain;
mod pool;
mod quarantine;
mod relay;
mod response;
mod response_body;
mod retries;
mod rollout;
mod room;
pub mod run;
mod run_guard;
mod server;
pub mod settings;
mod slow_start;
mod socket;
mod source;
mod starting;
mod startup;
mod stop;
mod unread;
mod upstream;
