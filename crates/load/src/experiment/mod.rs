//! The real decision code in front of small engine stand-ins under a virtual clock.

pub mod command;
