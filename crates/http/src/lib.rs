//! An HTTP client with timeouts and bounded response bodies. Its errors show whether the server may
//! have processed the request.

mod client;

pub use client::CallError;
pub use client::CallLimits;
pub use client::HttpClient;
