//! The text form of a ticket.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use cassia_ids::BootId;
use sha2::Digest;
use sha2::Sha256;

/// Version of the text form.
const FORMAT_VERSION: &str = "t1";
const MAC_BYTES: usize = 16;

/// Permission to run one request once, valid only at the process that minted
/// it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ticket {
    /// The address at which the minter's peers reach it.
    pub minter: SocketAddr,
    /// The minter's boot id.
    pub boot: BootId,
    /// Sequence number among the minter's tickets.
    pub seq: u64,
    /// Mint time, in milliseconds since the minter started.
    pub minted_ms: u64,
    /// Binds the ticket to its customer and route; only the minter can compute
    /// it.
    pub(crate) mac: [u8; MAC_BYTES],
}

impl Ticket {
    pub(crate) fn sign(&mut self, secret: &[u8; 32], customer: &str, route: &str) {
        self.mac = self.expected_mac(secret, customer, route);
    }

    pub(crate) fn verify(&self, secret: &[u8; 32], customer: &str, route: &str) -> bool {
        let expected = self.expected_mac(secret, customer, route);
        let differing = expected.iter().zip(self.mac).fold(0, |acc, (a, b)| acc | (a ^ b));
        differing == 0
    }

    fn expected_mac(&self, secret: &[u8; 32], customer: &str, route: &str) -> [u8; MAC_BYTES] {
        // Nested hashing, as in HMAC, prevents length extension of a known
        // MAC.
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
        write!(f, "{FORMAT_VERSION}_{minter}_{boot:x}_{seq:x}_{minted_ms:x}_")?;
        mac.iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}

/// The text is not a well-formed ticket.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ParseTicketError;

impl FromStr for Ticket {
    type Err = ParseTicketError;

    fn from_str(text: &str) -> Result<Self, ParseTicketError> {
        let mut fields = text.split('_');
        let mut field = || fields.next().ok_or(ParseTicketError);
        if field()? != FORMAT_VERSION {
            return Err(ParseTicketError);
        }
        let minter = field()?.parse().map_err(|_| ParseTicketError)?;
        let boot = parse_hex(field()?)?;
        let seq = parse_hex(field()?)?;
        let minted_ms = parse_hex(field()?)?;
        let mac = parse_mac(field()?)?;
        Ok(Self { minter, boot, seq, minted_ms, mac })
    }
}

fn parse_hex(hex: &str) -> Result<u64, ParseTicketError> {
    u64::from_str_radix(hex, 16).map_err(|_| ParseTicketError)
}

fn parse_mac(hex: &str) -> Result<[u8; MAC_BYTES], ParseTicketError> {
    // `from_str_radix` alone would also accept a sign.
    let is_hex = hex.len() == MAC_BYTES * 2 && hex.bytes().all(|b| b.is_ascii_hexdigit());
    let mac = u128::from_str_radix(hex, 16).map_err(|_| ParseTicketError)?;
    if is_hex { Ok(mac.to_be_bytes()) } else { Err(ParseTicketError) }
}
