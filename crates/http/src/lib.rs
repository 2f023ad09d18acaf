//! An HTTP client whose calls end in time, with bounded answers, and say whether the server may have
//! acted.

mod client;

pub use client::CallError;
pub use client::CallLimits;
pub use client::HttpClient;
