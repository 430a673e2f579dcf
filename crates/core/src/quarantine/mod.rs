//! Quarantine of the prompt parts that crash engines (queries of death).
//!
//! Each engine that ends while a generation begins to be written there speaks against all parts of its
//! prompt, each generation that is written speaks for its parts. A sequential probability ratio test
//! weighs both. What is lost with a part that already explains it speaks against no other part; parts
//! that the evidence cannot tell apart are refused only together.
//!
//! Gateways and control hosts tell each other the evidence. It may arrive in any order and more than
//! once, so that each process reaches the same verdicts, and a process that starts learns them from any
//! other.

mod evidence;
mod group;
mod table;

pub use evidence::Evidence;
pub use evidence::Loss;
pub use evidence::Write;
pub use table::Change;
pub use table::Table;
pub use table::Verdict;
