//! The text form of a ticket.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use cassia_ids::BootId;
use sha2::Digest;
use sha2::Sha256;

const FORM: &str = "t1";
const MAC_BYTES: usize = 16;

/// Permission to run one request once, at one run of one process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ticket {
    /// Where the minter's peers reach it.
    pub minter: SocketAddr,
    /// The minter's run.
    pub boot: BootId,
    /// Counts the minter's tickets.
    pub seq: u64,
    /// When it was minted, in milliseconds since the minter's start.
    pub minted_ms: u64,
    /// Ties the ticket to its customer and route; only the minter can make it.
    pub(crate) mac: [u8; MAC_BYTES],
}

impl Ticket {
    pub(crate) fn seal(&mut self, secret: &[u8; 32], customer: &str, route: &str) {
        self.mac = self.expected_mac(secret, customer, route);
    }

    pub(crate) fn is_sealed(&self, secret: &[u8; 32], customer: &str, route: &str) -> bool {
        let expected = self.expected_mac(secret, customer, route);
        let differing = expected.iter().zip(self.mac).fold(0, |acc, (a, b)| acc | (a ^ b));
        differing == 0
    }

    fn expected_mac(&self, secret: &[u8; 32], customer: &str, route: &str) -> [u8; MAC_BYTES] {
        // Hashed inside and out, so that a longer text can't be derived from a
        // known mac.
        let mut inner = Sha256::new();
        inner.update(secret);
        inner.update(self.seq.to_be_bytes());
        inner.update(self.minted_ms.to_be_bytes());
        inner.update([u8::try_from(customer.len()).unwrap_or(u8::MAX)]);
        inner.update(customer);
        inner.update(route);
        let mut outer = Sha256::new();
        outer.update(secret);
        outer.update(inner.finalize());
        let mut mac = [0; MAC_BYTES];
        mac.copy_from_slice(&outer.finalize()[..MAC_BYTES]);
        mac
    }
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { minter, boot, seq, minted_ms, mac } = self;
        write!(f, "{FORM}_{minter}_{boot:x}_{seq:x}_{minted_ms:x}_")?;
        mac.iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}

/// The text is not a ticket.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ParseTicketError;

impl FromStr for Ticket {
    type Err = ParseTicketError;

    fn from_str(text: &str) -> Result<Self, ParseTicketError> {
        let mut parts = text.split('_');
        let mut part = || parts.next().ok_or(ParseTicketError);
        if part()? != FORM {
            return Err(ParseTicketError);
        }
        let minter = part()?.parse().map_err(|_| ParseTicketError)?;
        let boot = number(part()?)?;
        let seq = number(part()?)?;
        let minted_ms = number(part()?)?;
        let mac = mac(part()?)?;
        Ok(Self { minter, boot, seq, minted_ms, mac })
    }
}

fn number(hex: &str) -> Result<u64, ParseTicketError> {
    u64::from_str_radix(hex, 16).map_err(|_| ParseTicketError)
}

fn mac(hex: &str) -> Result<[u8; MAC_BYTES], ParseTicketError> {
    // The library's own parser would take a sign as well.
    let digits = hex.len() == MAC_BYTES * 2 && hex.bytes().all(|b| b.is_ascii_hexdigit());
    let all = u128::from_str_radix(hex, 16).map_err(|_| ParseTicketError)?;
    if digits { Ok(all.to_be_bytes()) } else { Err(ParseTicketError) }
}
