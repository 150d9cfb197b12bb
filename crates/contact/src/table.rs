//! The partitions, and the probes of those that don't answer.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use cassia_ids::Offset;
use smol_str::SmolStr;

/// How long a probe may take.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Time from one probe of a partition to the next.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// Number of probes a second that all hosts may make together: half of the reads that the
/// store takes.
const MAX_PROBES_PER_S: u32 = 1_000;

/// How long ago the last return of a partition must be for the next one to count as the
/// first.
const RETURN_MEMORY: Duration = Duration::from_secs(10);
/// Half of the silence that the second return needs.
const MIN_SILENCE: Duration = Duration::from_millis(500);
/// How often that silence doubles.
const MAX_SILENCE_DOUBLINGS: u32 = 2;

/// Identifies a partition of the store.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct PartitionId {
    /// Its topic.
    pub topic: SmolStr,
    /// Its number.
    pub partition: u32,
}

/// Whether it is new that a partition answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// It is not.
    None,
    /// The partition answers again: what was sent to it before may never be answered. The
    /// others that are away may be back as well, and are read once too.
    Back(Return),
}

/// How a partition came back.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Return {
    /// After an outage. Reads that failed in it need no more time than others.
    #[default]
    First,
    /// Not long after it came back before. This may be overload, so reads go on with the time
    /// that they have come to need.
    Repeated,
}

/// What to do next for the partitions that don't answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum NextProbe {
    /// All answer, or are being asked.
    Idle,
    /// Wait until then.
    At(Instant),
    /// Read from the partition at an offset, which is its end as far as is known.
    Send {
        /// The partition.
        partition: PartitionId,
        /// Where to read.
        from: Offset,
    },
}

/// What is known of one partition.
#[derive(Clone, Debug, Default)]
struct Contact {
    end: Offset,
    /// When the newest call that was answered had been sent.
    answered: Option<Instant>,
    /// `None` while it answers.
    away: Option<Away>,
    back_at: Option<Instant>,
    /// How often it has come back at short intervals.
    returns: u32,
}

#[derive(Clone, Copy, Debug)]
struct Away {
    /// From when on no call that was sent is answered: when the first one that failed was
    /// sent, or a later one that was answered.
    since: Instant,
    /// Whether a probe has failed.
    is_silent: bool,
    /// When the probe that is under way was sent.
    asked: Option<Instant>,
    probe_at: Instant,
}

impl Contact {
    /// Records that the partition answers after it has been silent.
    ///
    /// Under overload some probes are answered and others aren't. If each answer ended the
    /// reads that are under way, none that takes long would ever end. So the silence that
    /// counts as an outage doubles with each return, unless the last one is long ago.
    fn record_return(&mut self, since: Instant, now: Instant) -> Change {
        if self.back_at.is_none_or(|at| now >= at + RETURN_MEMORY) {
            self.returns = 0;
        }
        let is_first = self.returns == 0;
        let min_silence = MIN_SILENCE * (1 << self.returns.min(MAX_SILENCE_DOUBLINGS));
        if !is_first && now < since + min_silence {
            return Change::None;
        }
        self.returns += 1;
        self.back_at = Some(now);
        Change::Back(if is_first { Return::First } else { Return::Repeated })
    }
}

/// The partitions that this host has called.
#[derive(Debug, Default)]
pub struct ContactTable {
    partitions: BTreeMap<PartitionId, Contact>,
    /// Earliest time of the next probe, so that the hosts together stay within their rate.
    spaced_until: Option<Instant>,
}

impl ContactTable {
    /// Records that a call of a partition was answered, and when it had been sent; `end` is
    /// the partition's end, if that is known.
    ///
    /// A call that was sent before those that failed says nothing of the time after them.
    pub fn record_answer(
        &mut self,
        partition: &PartitionId,
        end: Option<Offset>,
        sent: Instant,
        now: Instant,
    ) -> Change {
        let contact = self.contact(partition);
        contact.end = end.unwrap_or(contact.end);
        contact.answered = contact.answered.max(Some(sent));
        match contact.away {
            Some(away) if sent >= away.since => {
                contact.away = None;
                if away.is_silent { contact.record_return(away.since, now) } else { Change::None }
            }
            _ => Change::None,
        }
    }

    /// Records that a call of a partition was not answered, or refused as a whole, and when
    /// it had been sent.
    pub fn record_failure(&mut self, partition: &PartitionId, sent: Instant, now: Instant) {
        let contact = self.contact(partition);
        let since = contact.answered.map_or(sent, |answered| answered.max(sent));
        let away = Away { since, is_silent: false, asked: None, probe_at: now };
        let away = contact.away.get_or_insert(away);
        away.since = away.since.min(since);
    }

    /// Returns the next probe, which is under way from then on, where this many hosts
    /// probe.
    pub fn next_probe(&mut self, hosts: usize, now: Instant) -> NextProbe {
        let away = self.partitions.iter_mut().filter_map(|(partition, contact)| {
            let end = contact.end;
            let away = contact.away.as_mut().filter(|away| away.asked.is_none())?;
            Some((away.probe_at, partition, away, end))
        });
        let Some((due_at, partition, away, from)) = away.min_by_key(|(at, ..)| *at) else {
            return NextProbe::Idle;
        };
        let probe_at = self.spaced_until.map_or(due_at, |until| until.max(due_at));
        if now < probe_at {
            return NextProbe::At(probe_at);
        }
        away.asked = Some(now);
        away.probe_at = now + PROBE_INTERVAL;
        let hosts = u32::try_from(hosts).unwrap_or(u32::MAX).max(1);
        self.spaced_until = Some(now + Duration::from_secs(1) * hosts / MAX_PROBES_PER_S);
        NextProbe::Send { partition: partition.clone(), from }
    }

    /// Records whether a probe was answered.
    pub fn record_probe(
        &mut self,
        partition: &PartitionId,
        is_answered: bool,
        now: Instant,
    ) -> Change {
        let asked = self.contact(partition).away.as_mut().and_then(|away| away.asked.take());
        match (&mut self.contact(partition).away, asked) {
            (Some(_), Some(sent)) if is_answered => {
                return self.record_answer(partition, None, sent, now);
            }
            (Some(away), Some(_)) => away.is_silent = true,
            // A call was answered while the probe was under way.
            _ => {}
        }
        Change::None
    }

    /// Returns when a partition answered again after an outage.
    #[must_use]
    pub fn back_at(&self, partition: &PartitionId) -> Option<Instant> {
        self.partitions.get(partition)?.back_at
    }

    /// Returns the partitions that don't answer.
    pub fn away(&self) -> impl Iterator<Item = &PartitionId> {
        let away = self.partitions.iter().filter(|(_, contact)| contact.away.is_some());
        away.map(|(partition, _)| partition)
    }

    fn contact(&mut self, partition: &PartitionId) -> &mut Contact {
        self.partitions.entry(partition.clone()).or_default()
    }
}
