//! The text of execution tickets.

use derive_more::Display;
use derive_more::Error;
use hmac::Hmac;
use hmac::Mac;
use lavenderhollow_types::Incarnation;
use lavenderhollow_types::ZoneName;
use sha2::Sha256;

use crate::exchange::Digest;

/// The first field of a ticket's text.
const PREFIX: &str = "ticket1";

/// What a ticket's text names, before its signature is checked. It serves to find the owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// The owner's zone.
    pub zone: ZoneName,
    /// The owner.
    pub incarnation: Incarnation,
    /// The number of the ticket at its owner.
    pub sequence: u64,
}

/// Why a ticket's text is refused.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum TicketError {
    /// The text is no ticket.
    #[display("ticket is malformed")]
    Malformed,
    /// The signature is not the owner's.
    #[display("ticket signature is wrong")]
    Signature,
    /// The ticket belongs to another process.
    #[display("ticket belongs to another entry")]
    Foreign,
    /// The table of tickets is full.
    #[display("too many open tickets")]
    Full,
}

impl Ticket {
    /// Reads a ticket's text without checking the signature.
    ///
    /// # Errors
    ///
    /// Fails when the text is no ticket.
    pub fn parse(text: &str) -> Result<Self, TicketError> {
        let (content, _) = text.rsplit_once(':').ok_or(TicketError::Malformed)?;
        Self::content(content).ok_or(TicketError::Malformed)
    }

    fn content(content: &str) -> Option<Self> {
        let mut fields = content.strip_prefix(PREFIX)?.strip_prefix(':')?.split(':');
        let ticket = Self {
            zone: ZoneName::new(fields.next()?).ok()?,
            incarnation: fields.next()?.parse().ok()?,
            sequence: fields.next()?.parse().ok()?,
        };
        fields.next().is_none().then_some(ticket)
    }
}

/// Signs and checks the tickets of one incarnation.
#[derive(Clone)]
pub(super) struct Signer(Hmac<Sha256>);

impl Signer {
    pub(super) fn new(secret: &[u8; 32]) -> Self {
        Self(Hmac::new_from_slice(secret).expect("HMAC takes keys of any length"))
    }

    pub(super) fn sign(&self, ticket: &Ticket) -> String {
        let Ticket {
            zone,
            incarnation,
            sequence,
        } = ticket;
        let content = format!("{PREFIX}:{zone}:{incarnation}:{sequence}");
        let mac = self.0.clone().chain_update(&content).finalize();
        let mac = Digest::from_bytes(mac.into_bytes().into());
        format!("{content}:{mac}")
    }

    /// Checks the signature of a ticket's text, in constant time.
    pub(super) fn check(&self, text: &str) -> Result<(), TicketError> {
        let (content, mac) = text.rsplit_once(':').ok_or(TicketError::Malformed)?;
        let mac = decode(mac).ok_or(TicketError::Malformed)?;
        let checked = self.0.clone().chain_update(content).verify_slice(&mac);
        checked.map_err(|_| TicketError::Signature)
    }
}

fn decode(hex: &str) -> Option<Vec<u8>> {
    if hex.len() != 64 || !hex.is_ascii() {
        return None;
    }
    let byte = |at| u8::from_str_radix(&hex[at..at + 2], 16).ok();
    (0..64).step_by(2).map(byte).collect()
}
