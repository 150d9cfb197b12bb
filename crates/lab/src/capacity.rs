//! Cost of one operation of each decision, by the size of its state.
//!
//! Functions that return a pair return nanoseconds and bytes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cassia_config::ConfigRecord;
use cassia_config::ContractTable;
use cassia_config::Publish;
use cassia_contract::Class;
use cassia_contract::Contract;
use cassia_contract::FORMAT;
use cassia_contract::LotSize;
use cassia_contract::Route;
use cassia_contract::RouteKind;
use cassia_contract::key_hash;
use cassia_lease::LeaseOp;
use cassia_lease::LeaseRecord;
use cassia_lease::LeaseTable;
use cassia_lease::OpKind;
use cassia_membership::Datagram;
use cassia_membership::LocalMember;
use cassia_membership::Membership;
use cassia_replica::StateMachine;
use cassia_route::AdmissionController;
use cassia_route::AdmissionRequest;
use cassia_route::TargetInfo;
use cassia_route::TargetKind;
use cassia_route::TargetQuery;
use cassia_route::TargetSet;
use cassia_route::TargetSnapshot;
use cassia_route::TargetView;
use cassia_sample::Cursor;
use cassia_sample::Label;
use cassia_sample::LotSpec;
use cassia_sample::Pull;
use cassia_sample::Sample;
use cassia_sample::SampleBuffer;
use cassia_sample::Span;
use cassia_tickets::Outcome;
use cassia_tickets::Redeemed;
use cassia_tickets::TargetResponse;
use cassia_tickets::TicketStore;
use prost::Message;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::report::Table;

/// Number of runs of each measurement; the median is reported.
const RUNS: usize = 5;

/// Size of a memory page.
const PAGE_BYTES: f64 = 4_096.0;

/// Runs all measurements.
pub(crate) fn run() -> Table {
    let mut table = Table::new(&["what", "size", "nanoseconds", "bytes"]);
    let mut add = |operation: &str, size: usize, ns: Option<f64>, bytes: Option<f64>| {
        let format = |n: Option<f64>| n.map_or_else(String::new, |n| format!("{n:.0}"));
        table.add_row(vec![operation.to_owned(), size.to_string(), format(ns), format(bytes)]);
    };
    for size in [10, 50, 75, 200, 600] {
        add("choose a target, targets", size, Some(choose_target(size)), None);
        let (ns, bytes) = merge_snapshot(size);
        add("merge a snapshot of the list, targets", size, Some(ns), Some(bytes));
    }
    for size in [1, 10, 100, 1_000] {
        add("admit a request, customers", size, Some(admit(size)), None);
        add("find contract and check key, customers", size, Some(authorize(size)), None);
        let (ns, bytes) = publish_contract(size);
        add("apply a contract change, customers", size, Some(ns), Some(bytes));
    }
    for size in [1_000, 10_000, 100_000] {
        let (ns, bytes) = redeem_tickets(size);
        add("mint, redeem and complete a ticket, remembered", size, Some(ns), Some(bytes));
    }
    for size in [45, 90, 180, 360] {
        let (ns, bytes) = exchange_gossip(size);
        add("one second of a member, members", size, Some(ns), Some(bytes));
    }
    for size in [8, 64, 512] {
        let (ns, bytes) = generate_lots(size);
        add("one sample from start to lot, samples per lot", size, Some(ns), Some(bytes));
    }
    let (ns, bytes) = renew_lease();
    add("renew a lease", 1, Some(ns), Some(bytes));
    table
}

/// Returns the time of one operation in nanoseconds, as the median over some
/// calls of `run`, which performs `operations` of them.
fn measure_ns(operations: u32, mut run: impl FnMut()) -> f64 {
    let mut times: Vec<f64> = (0..RUNS)
        .map(|_| {
            let start = Instant::now();
            run();
            start.elapsed().as_secs_f64() * 1e9 / f64::from(operations)
        })
        .collect();
    times.sort_by(f64::total_cmp);
    times[RUNS / 2]
}

/// Returns the resident memory of this process, in bytes.
fn resident_bytes() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|p| p.parse::<f64>().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES
}

fn to_f64(size: usize) -> f64 {
    f64::from(u32::try_from(size).unwrap_or(u32::MAX))
}

pub(crate) fn engine_info(i: usize, kind: &TargetKind, slots: u32) -> TargetInfo {
    TargetInfo {
        id: format!("engine-{i}").into(),
        addr: SocketAddr::from(([10, 0, 0, 1], 80)),
        data_centre: format!("dc{}", i % 8).into(),
        software: "v1".into(),
        kind: kind.clone(),
        incarnation: 1,
        leaving: false,
        slots,
        checks_fence: true,
    }
}

pub(crate) fn engine_kind() -> TargetKind {
    TargetKind::Engine { model: "m".into() }
}

fn choose_target(size: usize) -> f64 {
    const OPERATIONS: u32 = 100_000;
    let kind = engine_kind();
    let now = Instant::now();
    let infos: Vec<_> = (0..size).map(|i| engine_info(i, &kind, 8)).collect();
    let set = TargetSet::empty(now).updated(&infos);
    let mut rng = SmallRng::seed_from_u64(1);
    measure_ns(OPERATIONS, || {
        for _ in 0..OPERATIONS {
            std::hint::black_box(set.choose(&TargetQuery::new(&kind), &mut rng, now));
        }
    })
}

fn merge_snapshot(size: usize) -> (f64, f64) {
    let kind = engine_kind();
    let targets: Vec<_> = (0..size).map(|i| engine_info(i, &kind, 8)).collect();
    let snapshot = TargetSnapshot { seq: 1, targets, peers: Vec::new() };
    let text = serde_json::to_string(&snapshot).unwrap_or_default();
    let ns = measure_ns(1, || {
        let mut view = TargetView::default();
        if let Ok(snapshot) = serde_json::from_str::<TargetSnapshot>(&text) {
            view.merge(snapshot);
        }
        std::hint::black_box(view.open_targets().count());
    });
    (ns, to_f64(text.len()))
}

fn contract(i: usize) -> Contract {
    let route = |n: usize| Route {
        name: format!("route-{n}").into(),
        kind: RouteKind::Generate { model: "m".into() },
        class: Class::Interactive,
        deadline_ms: 2_000,
        idempotent: true,
    };
    Contract {
        format: FORMAT,
        customer: format!("customer-{i}").into(),
        key_hashes: vec![key_hash("a"), key_hash("b")],
        share_percent: 1,
        priority: 1,
        staleness_bound: 2,
        idle_weight_percent: 50,
        lot: LotSize { groups: 64, group_size: 8 },
        routes: (0..4).map(route).collect(),
        trainers: Vec::new(),
    }
}

/// Returns a table with the contracts of the first 100 of `size` customers,
/// and a withdrawn contract for each of the others: at one percent each, 100
/// contracts use up the shares. Shares don't affect the measured cost.
fn contract_table(size: usize) -> ContractTable {
    let mut table = ContractTable::default();
    for i in 0..size {
        let contract = contract(i);
        let publish = Publish {
            publish_id: format!("p{i}").into(),
            customer: contract.customer.clone(),
            base_revision: 0,
            contract: (i < 100).then(|| Arc::new(contract)),
        };
        let next = table.next_offset();
        table.apply(next, Some(&ConfigRecord::Publish(publish)));
    }
    table
}

fn authorize(size: usize) -> f64 {
    const OPERATIONS: u32 = 10_000;
    let contracts: BTreeMap<_, _> =
        (0..size).map(contract).map(|c| (c.customer.clone(), Arc::new(c))).collect();
    let customer = format!("customer-{}", size / 2);
    measure_ns(OPERATIONS, || {
        for _ in 0..OPERATIONS {
            let contract = contracts.get(customer.as_str()).filter(|c| c.accepts_key("b"));
            std::hint::black_box(contract.map(Arc::clone));
        }
    })
}

fn publish_contract(size: usize) -> (f64, f64) {
    const OPERATIONS: u32 = 100;
    let mut table = contract_table(size);
    let snapshot = serde_json::to_string(&table).unwrap_or_default();
    let customer: smol_str::SmolStr = "customer-0".into();
    let mut n = 0;
    let ns = measure_ns(OPERATIONS, || {
        for _ in 0..OPERATIONS {
            n += 1;
            let publish = Publish {
                publish_id: format!("q{n}").into(),
                customer: customer.clone(),
                base_revision: table.get(&customer).map_or(0, |entry| entry.revision),
                contract: Some(Arc::new(contract(0))),
            };
            let next = table.next_offset();
            table.apply(next, Some(&ConfigRecord::Publish(publish)));
            // The controller publishes a copy to its readers.
            std::hint::black_box(table.clone());
        }
    });
    (ns, to_f64(snapshot.len()) / to_f64(size.min(100)))
}

fn admit(size: usize) -> f64 {
    const OPERATIONS: u32 = 10_000;
    let now = Instant::now();
    let mut admission = AdmissionController::new(1_000);
    let requests: Vec<_> = (0..size)
        .map(|i| AdmissionRequest {
            customer: format!("customer-{i}").into(),
            class: Class::Interactive,
            priority: 1,
            share_percent: 1,
            deadline: now + Duration::from_secs(2),
        })
        .collect();
    for request in &requests {
        admission.admit(request, now);
        admission.finish(&request.customer, Duration::from_millis(50));
    }
    measure_ns(OPERATIONS, || {
        for i in 0..OPERATIONS {
            let request = &requests[usize::try_from(i).unwrap_or(0) % size];
            admission.admit(request, now);
            admission.finish(&request.customer, Duration::from_millis(50));
            std::hint::black_box(admission.next_to_run());
        }
    })
}

fn redeem_tickets(size: usize) -> (f64, f64) {
    let now = Instant::now();
    let before = resident_bytes();
    let addr = SocketAddr::from(([10, 0, 0, 1], 80));
    let mut store = TicketStore::new(addr, 1, [7; 32], now);
    let start = Instant::now();
    for _ in 0..size {
        let ticket = store.mint("savanna", "status", now).to_string();
        let Ok(ticket) = ticket.parse() else { continue };
        if let Redeemed::Run(seq) = store.redeem(&ticket, "savanna", "status", now) {
            let response = TargetResponse { status: 200, body: vec![b'x'; 100] };
            store.record_outcome(seq, &Outcome::Answered(Arc::new(response)));
        }
    }
    let ns = start.elapsed().as_secs_f64() * 1e9 / to_f64(size);
    (ns, (resident_bytes() - before).max(0.0) / to_f64(store.used_tickets()))
}

/// Exchanges the members' datagrams in virtual time, and measures the last
/// seconds, when all members know each other.
fn exchange_gossip(size: usize) -> (f64, f64) {
    const WARM_UP_SECONDS: u32 = 120;
    const SECONDS: u32 = 40;
    /// Bytes of the IP and UDP headers of a datagram.
    const HEADER_BYTES: usize = 28;
    let addr = |i: usize| {
        let (high, low) = (u8::try_from(i / 256), u8::try_from(i % 256));
        SocketAddr::from(([10, 0, high.unwrap_or(0), low.unwrap_or(0)], 7))
    };
    let mut now = Instant::now();
    let member = |i| {
        let local = LocalMember {
            id: format!("host-{i}/entry").into(),
            addr: addr(i),
            data_centre: format!("dc{}", i % 8).into(),
            incarnation: 1,
        };
        let mut membership = Membership::new(local, i as u64, now);
        membership.set_seeds(vec![addr(0), addr(1)]);
        (addr(i), membership)
    };
    let mut members: BTreeMap<_, _> = (0..size).map(member).collect();
    let mut elapsed = Duration::ZERO;
    let mut bytes = 0;
    for second in 0..WARM_UP_SECONDS + SECONDS {
        let mut queue: Vec<(SocketAddr, Datagram)> = Vec::new();
        let start = Instant::now();
        for (&from, member) in &mut members {
            queue.extend(member.tick(now).into_iter().map(|d| (from, d)));
        }
        let mut sent_bytes = 0;
        while let Some((from, datagram)) = queue.pop() {
            let encoded = datagram.gossip.encode_to_vec();
            sent_bytes += encoded.len() + HEADER_BYTES;
            let decoded = cassia_membership::Gossip::decode(encoded.as_slice());
            if let (Some(member), Ok(gossip)) = (members.get_mut(&datagram.to), decoded) {
                let replies = member.receive(from, &gossip, now);
                queue.extend(replies.into_iter().map(|d| (datagram.to, d)));
            }
        }
        if second >= WARM_UP_SECONDS {
            elapsed += start.elapsed();
            bytes += sent_bytes;
        }
        now += Duration::from_secs(1);
    }
    let member_seconds = to_f64(size) * f64::from(SECONDS);
    (elapsed.as_secs_f64() * 1e9 / member_seconds, to_f64(bytes) / member_seconds)
}

fn generate_lots(size: usize) -> (f64, f64) {
    const LOTS: usize = 20;
    let spec =
        LotSpec { groups: size / 8, group_size: 8, staleness_bound: 2, idle_weight_percent: 100 };
    let mut buffer = SampleBuffer::new(1, 0, spec);
    let mut cursor = Cursor::default();
    let before = resident_bytes();
    let start = Instant::now();
    let mut lots = Vec::new();
    for _ in 0..LOTS {
        let first = cursor.next_prompt;
        let prompts = (first..).take(spec.groups).map(|p| format!("prompt {p}").into()).collect();
        let pull = Pull { cursor, version: 1, prompts };
        buffer.pull(&pull);
        for task in buffer.next_tasks(size) {
            buffer.finish(Sample {
                id: task.id,
                prompt: task.prompt,
                text: "x".repeat(2_000),
                label: Label { spans: vec![Span { tokens: 500, version: 1 }], cached: Vec::new() },
                score: None,
            });
        }
        if let cassia_sample::PullOutcome::Lot(lot) = buffer.pull(&pull) {
            cursor = lot.cursor;
            lots.push(lot);
        }
    }
    let ns = start.elapsed().as_secs_f64() * 1e9 / to_f64(size * LOTS);
    (ns, (resident_bytes() - before).max(0.0) / to_f64(size * LOTS))
}

fn renew_lease() -> (f64, f64) {
    const OPERATIONS: u32 = 10_000;
    let op = |nonce, kind| {
        let resource = "orders/caption".into();
        LeaseRecord::Op(LeaseOp {
            resource,
            holder: "host-17".into(),
            boot: u64::MAX,
            nonce,
            kind,
            quiesced: false,
            wait_ms: None,
        })
    };
    let mut table = LeaseTable::default();
    table.apply(0, Some(&op(0, OpKind::Claim { supersedes: None })));
    let record = op(1, OpKind::Renew { fence: 0 });
    let ns = measure_ns(OPERATIONS, || {
        for _ in 0..OPERATIONS {
            let next = table.next_offset();
            table.apply(next, Some(&record));
        }
    });
    (ns, to_f64(serde_json::to_string(&record).unwrap_or_default().len()))
}
