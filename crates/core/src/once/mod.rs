//! Idempotency claims and execution tickets.

mod claims;
mod key;
mod pending;
mod ticket;
mod tickets;

pub use claims::Claim;
pub use claims::ClaimChange;
pub use claims::ClaimRejection;
pub use claims::Claims;
pub use claims::MAX_KEPT_BODY;
pub use claims::Settled;
pub use claims::Stored;
pub use key::CLAIM_WINDOW;
pub use key::ClaimKey;
pub use key::InvalidKey;
pub use key::KEY_AHEAD;
pub use key::LOG_AHEAD;
pub(crate) use key::to_millis;
pub use pending::PendingClaim;
pub use ticket::Ticket;
pub use ticket::TicketError;
pub use tickets::Grant;
pub use tickets::Running;
pub use tickets::Spend;
pub use tickets::TicketLimits;
pub use tickets::Tickets;
