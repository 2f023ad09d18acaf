//! An HTTP client whose calls end in time, with bounded answers, and say whether the server may have
//! acted.

mod client;

pub use client::CallError;
pub use client::HttpClient;
pub use client::CallLimits;
