//! A logger that writes records as JSON lines from a background thread.
//!
//! ```
//! use carobstep_logging::{LogSink, install};
//!
//! install(log::LevelFilter::Info, "perth-a-1", "perth-a", LogSink::Stderr).unwrap();
//! log::info!(port = 8104; "listening");
//! log::logger().flush();
//! ```

mod calendar;
mod writer;

pub use calendar::unix_millis;
pub use writer::{LogError, LogSink, install};
