//! Quarantine of what crashes upstreams (queries of death): parts of prompts and whole requests.
//!
//! Each upstream that ends while it runs a plain call, or while a generation begins to be written there,
//! speaks against the request and against all parts of its prompt; each request that is answered speaks
//! for them. A sequential probability ratio test weighs both. What is lost with a subject that already
//! explains it speaks against no other; parts that the evidence cannot tell apart are refused only
//! together.
//!
//! Gateways and control hosts tell each other the evidence. It may arrive in any order and more than
//! once, so that each process reaches the same verdicts, and a process that starts learns them from any
//! other.

mod evidence;
mod group;
mod subject;
mod table;

pub use evidence::Evidence;
pub use evidence::Loss;
pub use evidence::Success;
pub use subject::List;
pub use subject::Name;
pub use subject::Subject;
pub use table::Change;
pub use table::Table;
pub use table::Verdict;
