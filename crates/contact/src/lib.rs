//! Which partitions of the store answer, and when to ask those that don't.
//!
//! The store may lose some of its partitions while the others answer. Who reads one of
//! them has a call under way that may never end, or waits to repeat it. A
//! [`ContactTable`] learns from all calls which partitions don't answer, asks these for
//! little at short intervals, and says when one is back, so that its readers read at once.
//!
//! A partition counts as back only if a probe of it has failed before, and for longer each
//! time that it has come back a moment ago. One that answers probes and whose reads time out
//! is slow: its readers need more time, not another read.
//!
//! The crate does no I/O and reads no clock.
//!
//! ```
//! use std::time::Duration;
//! use std::time::Instant;
//! use cassia_contact::Change;
//! use cassia_contact::ContactTable;
//! use cassia_contact::NextProbe;
//! use cassia_contact::PartitionId;
//! use cassia_contact::Return;
//!
//! let start = Instant::now();
//! let mut contact = ContactTable::default();
//! let partition = PartitionId { topic: "jobs".into(), partition: 3 };
//! contact.record_failure(&partition, start, start);
//! let NextProbe::Send { .. } = contact.next_probe(1, start) else { panic!("it is asked at once") };
//! contact.record_probe(&partition, false, start + Duration::from_millis(250));
//! let later = start + Duration::from_secs(1);
//! let NextProbe::Send { .. } = contact.next_probe(1, later) else { panic!("it is asked again") };
//! assert_eq!(contact.record_probe(&partition, true, later), Change::Back(Return::First));
//! ```

mod table;

pub use crate::table::Change;
pub use crate::table::ContactTable;
pub use crate::table::NextProbe;
pub use crate::table::PROBE_TIMEOUT;
pub use crate::table::PartitionId;
pub use crate::table::Return;
