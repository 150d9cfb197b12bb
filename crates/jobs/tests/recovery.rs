//! The load of a restart of all hosts: each is asked about jobs of many
//! partitions at once, and all of them share the bandwidth of the store.
//!
//! A host that replays the log reads all of it. With a fixed timeout, none of
//! the reads ends once the hosts together need longer than that, and the bytes
//! of each are thrown away. The simulated hosts use the real plan and the real
//! snapshots; only the store and the clock are simulated.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use cassia_jobs::ItemResult;
use cassia_jobs::JobRecord;
use cassia_jobs::JobTable;
use cassia_jobs::NextRead;
use cassia_jobs::ReadOutcome;
use cassia_jobs::ReadPlan;
use rstest::rstest;

/// Bandwidth of the store for all reads together, in bytes a second.
const STORE_BANDWIDTH: u64 = 80_000_000;
/// Bandwidth of a host's link, in bytes a second.
const HOST_BANDWIDTH: u64 = 7_500_000;
const PARTITIONS: usize = 12;
const ITEMS_PER_JOB: u32 = 140;
const SUBMISSION_BYTES: usize = 90_000;
const RESULT_BYTES: usize = 600;
/// Number of the newest jobs of a partition that callers may still ask for.
const LIVE_JOBS: u32 = 15;
/// Number of steps of the simulated clock in a second.
const TICKS_PER_SECOND: u32 = 100;
const TICK: Duration = Duration::from_millis(10);
/// Time within which the platform wants requests to be served again.
const RECOVERY_LIMIT: Duration = Duration::from_secs(12);

/// What a partition holds: its size, and its newest snapshot.
#[derive(Clone, Copy, Debug)]
struct Partition {
    bytes: u64,
    snapshot_position: u64,
    snapshot_bytes: u64,
}

/// Writes a log of this many jobs, with snapshots as the owner would.
fn write_log(jobs: u32) -> Partition {
    let mut table = JobTable::default();
    let mut partition = Partition { bytes: 0, snapshot_position: 0, snapshot_bytes: 0 };
    let mut append = |size: usize, record: &JobRecord| {
        table.apply(table.next_offset(), size, record);
        if table.snapshot_due(partition.snapshot_position) {
            partition.snapshot_position = table.position();
            partition.snapshot_bytes = table.to_snapshot().len() as u64 * 4 / 3;
        }
        let JobRecord::Part { accepted_ms, .. } = record else { return table.position() };
        table.remove_accepted_before(accepted_ms.saturating_sub(u64::from(LIVE_JOBS)));
        table.position()
    };
    for n in 0..jobs {
        let job = format!("{n:016x}");
        let first = JobRecord::Part {
            job: job.clone(),
            part: 0,
            part_count: 1,
            item_count: ITEMS_PER_JOB,
            accepted_ms: u64::from(n),
            customer: String::new(),
            data: Bytes::new(),
        };
        partition.bytes = append(SUBMISSION_BYTES, &first);
        for index in 0..ITEMS_PER_JOB {
            let result = ItemResult { job: job.clone(), index, ..ItemResult::default() };
            partition.bytes = append(RESULT_BYTES, &JobRecord::Result(result));
        }
    }
    partition
}

/// One host's reader of one partition.
struct Reader {
    plan: ReadPlan,
    position: u64,
    /// The read under way: what, bytes left, and when it times out.
    current: Option<(NextRead, u64, Instant)>,
    bytes_read: u64,
    done: bool,
}

impl Reader {
    fn new() -> Self {
        Self { plan: ReadPlan::default(), position: 0, current: None, bytes_read: 0, done: false }
    }

    fn begin(&mut self, log: &Partition, now: Instant) {
        let read = self.plan.next(now);
        let size = match read {
            NextRead::Snapshot => log.snapshot_bytes,
            NextRead::Records { max_kb } => {
                (log.bytes - self.position).min(u64::from(max_kb) * 1_024)
            }
        };
        self.current = Some((read, size, now + self.plan.timeout()));
    }

    /// Receives up to `share` bytes.
    fn receive(&mut self, log: &Partition, share: u64, now: Instant) {
        let Some((read, left, timeout_at)) = &mut self.current else { return };
        let received = share.min(*left);
        *left -= received;
        self.bytes_read += received;
        let outcome = match (*read, *left) {
            (NextRead::Snapshot, 0) => {
                self.position = self.position.max(log.snapshot_position);
                ReadOutcome::SnapshotRead
            }
            (NextRead::Records { max_kb }, 0) => {
                self.position = log.bytes.min(self.position + u64::from(max_kb) * 1_024);
                self.done = self.position == log.bytes;
                ReadOutcome::RecordsRead { at_end: self.done }
            }
            _ if now >= *timeout_at => ReadOutcome::TimedOut,
            _ => return,
        };
        self.plan.record(outcome, now);
        self.current = None;
    }
}

/// Returns the bytes that a host reads, and the time until all hosts have read
/// all partitions; `None` if they have not within a minute.
fn restart_all(hosts: usize, log: &Partition) -> Option<(u64, Duration)> {
    let start = Instant::now();
    let mut readers: Vec<Vec<Reader>> =
        (0..hosts).map(|_| (0..PARTITIONS).map(|_| Reader::new()).collect()).collect();
    let per_tick = |bandwidth: u64| bandwidth / u64::from(TICKS_PER_SECOND);
    for tick in 1..6_000 {
        let now = start + TICK * tick;
        let mut active = 0;
        for host in &mut readers {
            for reader in host.iter_mut().filter(|reader| !reader.done) {
                active += 1;
                if reader.current.is_none() {
                    reader.begin(log, now);
                }
            }
        }
        if active == 0 {
            let bytes: u64 = readers.iter().flatten().map(|reader| reader.bytes_read).sum();
            return Some((bytes / hosts as u64, TICK * tick));
        }
        let store_share = per_tick(STORE_BANDWIDTH) / active;
        for host in &mut readers {
            let active = host.iter().filter(|reader| !reader.done).count() as u64;
            let share = store_share.min(per_tick(HOST_BANDWIDTH) / active.max(1));
            for reader in host.iter_mut().filter(|reader| !reader.done) {
                reader.receive(log, share, now);
            }
        }
    }
    None
}

#[rstest]
#[case::hosts_16(16)]
#[case::hosts_90(90)]
#[case::hosts_295(295)]
#[case::hosts_1000(1_000)]
fn bytes_and_time_do_not_grow_with_the_log(#[case] hosts: usize) {
    let (short, long) = (write_log(40), write_log(400));
    assert!(long.bytes > 9 * short.bytes);
    let (short_bytes, short_time) = restart_all(hosts, &short).expect("short log read");
    let (long_bytes, long_time) = restart_all(hosts, &long).expect("long log read");
    assert!(long_bytes <= short_bytes * 11 / 10, "{long_bytes} after {short_bytes}");
    assert!(long_time <= short_time * 11 / 10, "{long_time:?} after {short_time:?}");
    // Up to the store's bandwidth the time does not grow with the hosts.
    let store_time = Duration::from_millis(long_bytes * hosts as u64 * 1_000 / STORE_BANDWIDTH);
    assert!(long_time <= Duration::from_secs(1) + store_time.mul_f64(1.5), "{long_time:?}");
    if hosts <= 360 {
        assert!(long_time <= RECOVERY_LIMIT, "{long_time:?}");
    }
}
