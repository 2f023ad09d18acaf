//! What is known of a request after several attempts to have an owner carry it out.

use crate::message::ShardResponse;
use crate::router::RequestError;

/// The attempts of one request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Attempts {
    /// Whether an attempt got no response, so that an owner may carry it out, also later.
    unknown: bool,
}

impl Attempts {
    /// Records that an attempt may have been carried out.
    pub fn add_unknown(&mut self) {
        self.unknown = true;
    }

    /// Returns whether an attempt may have been carried out.
    pub fn is_unknown(self) -> bool {
        self.unknown
    }

    /// Returns the outcome of the request after an attempt was answered. A rejection says that nothing
    /// was done in that attempt alone, and another owner may accept an earlier one that was held up.
    ///
    /// # Errors
    ///
    /// Returns [`RequestError::OutcomeUnknown`] if the response does not tell what comes of an earlier
    /// attempt.
    pub fn conclude(self, response: ShardResponse) -> Result<ShardResponse, RequestError> {
        match response {
            ShardResponse::Rejected { .. } | ShardResponse::Unavailable { .. } if self.unknown => {
                Err(RequestError::OutcomeUnknown)
            }
            response => Ok(response),
        }
    }

    /// Returns the error of a request that no attempt has concluded in time.
    pub fn error(self) -> RequestError {
        match self.unknown {
            true => RequestError::OutcomeUnknown,
            false => RequestError::OwnerUnreachable,
        }
    }
}
