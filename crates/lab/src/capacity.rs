//! What one operation of each decision costs, and how that grows.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cassia_contract::Class;
use cassia_contract::Contract;
use cassia_contract::FORMAT;
use cassia_contract::LotSize;
use cassia_contract::Route;
use cassia_contract::RouteKind;
use cassia_contract::key_hash;
use cassia_fold::ConfigRecord;
use cassia_fold::ContractTable;
use cassia_fold::Publish;
use cassia_follow::StateMachine;
use cassia_lease::LeaseOp;
use cassia_lease::LeaseRecord;
use cassia_lease::LeaseTable;
use cassia_lease::OpKind;
use cassia_member::Datagram;
use cassia_member::LocalMember;
use cassia_member::Membership;
use cassia_once::Outcome;
use cassia_once::Redeemed;
use cassia_once::TargetResponse;
use cassia_once::TicketStore;
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
use prost::Message;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::report::Table;

/// Runs of each measurement, whose median counts.
const RUNS: usize = 5;

/// Measures everything.
pub(crate) fn run() -> Table {
    let mut table = Table::new(&["what", "size", "nanoseconds", "bytes"]);
    let mut add = |what: &str, size: usize, ns: Option<f64>, bytes: Option<f64>| {
        let show = |n: Option<f64>| n.map_or_else(String::new, |n| format!("{n:.0}"));
        table.row(vec![what.to_owned(), size.to_string(), show(ns), show(bytes)]);
    };
    for size in [10, 50, 75, 200, 600] {
        add("choose a target, targets", size, Some(choose(size)), None);
        let (ns, bytes) = list(size);
        add("merge a copy of the list, targets", size, Some(ns), Some(bytes));
    }
    for size in [1, 10, 100, 1_000] {
        add("pass the gate, customers", size, Some(gate(size)), None);
        add("find contract and check key, customers", size, Some(authorize(size)), None);
        let (ns, bytes) = fold(size);
        add("fold a change and publish it, customers", size, Some(ns), Some(bytes));
    }
    for size in [1_000, 10_000, 100_000] {
        let (ns, bytes) = desk(size);
        add("mint, redeem, end a ticket, remembered", size, Some(ns), Some(bytes));
    }
    for size in [45, 90, 180, 360] {
        let (ns, bytes) = membership(size);
        add("one member's second, members", size, Some(ns), Some(bytes));
    }
    for size in [8, 64, 512] {
        let (ns, bytes) = lots(size);
        add("one sample, start to lot, samples a lot", size, Some(ns), Some(bytes));
    }
    let (ns, bytes) = lease();
    add("a lease renewal", 1, Some(ns), Some(bytes));
    table
}

/// Gives the median over some runs of the time an operation takes.
fn time(operations: u32, mut run: impl FnMut()) -> f64 {
    let mut times: Vec<f64> = (0..RUNS)
        .map(|_| {
            let began = Instant::now();
            run();
            began.elapsed().as_secs_f64() * 1e9 / f64::from(operations)
        })
        .collect();
    times.sort_by(f64::total_cmp);
    times[RUNS / 2]
}

/// Reads the memory that this process has in use, in bytes.
fn resident() -> f64 {
    let status = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = status.split_whitespace().nth(1).and_then(|p| p.parse::<f64>().ok());
    pages.unwrap_or(0.0) * 4_096.0
}

fn count(size: usize) -> f64 {
    f64::from(u32::try_from(size).unwrap_or(u32::MAX))
}

pub(crate) fn listed(i: usize, kind: &TargetKind, slots: u32) -> TargetInfo {
    TargetInfo {
        id: format!("engine-{i}").into(),
        addr: SocketAddr::from(([10, 0, 0, 1], 80)),
        data_centre: format!("dc{}", i % 8).into(),
        kind: kind.clone(),
        incarnation: 1,
        leaving: false,
        slots,
        checks_fence: true,
    }
}

pub(crate) fn kind() -> TargetKind {
    TargetKind::Engine { model: "m".into() }
}

fn choose(size: usize) -> f64 {
    const OPERATIONS: u32 = 100_000;
    let kind = kind();
    let now = Instant::now();
    let listed: Vec<_> = (0..size).map(|i| listed(i, &kind, 8)).collect();
    let set = TargetSet::empty(now).updated(&listed);
    let mut rng = SmallRng::seed_from_u64(1);
    time(OPERATIONS, || {
        for _ in 0..OPERATIONS {
            std::hint::black_box(set.choose(&TargetQuery::new(&kind), &mut rng, now));
        }
    })
}

fn list(size: usize) -> (f64, f64) {
    let kind = kind();
    let targets: Vec<_> = (0..size).map(|i| listed(i, &kind, 8)).collect();
    let copy = TargetSnapshot { seq: 1, targets, peers: Vec::new() };
    let text = serde_json::to_string(&copy).unwrap_or_default();
    let ns = time(1, || {
        let mut view = TargetView::default();
        if let Ok(copy) = serde_json::from_str::<TargetSnapshot>(&text) {
            view.merge(copy);
        }
        std::hint::black_box(view.open_targets().count());
    });
    (ns, count(text.len()))
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

/// A fold with as many customers. Shares don't matter for its cost, so the
/// surplus of a hundred at one percent is left out by restarting the names.
fn filled(size: usize) -> ContractTable {
    let mut fold = ContractTable::default();
    for i in 0..size {
        let contract = contract(i);
        let publish = Publish {
            publish_id: format!("p{i}").into(),
            customer: contract.customer.clone(),
            base_revision: 0,
            contract: (i < 100).then(|| Arc::new(contract)),
        };
        let next = fold.next_offset();
        fold.apply(next, Some(&ConfigRecord::Publish(publish)));
    }
    fold
}

fn authorize(size: usize) -> f64 {
    const OPERATIONS: u32 = 10_000;
    let contracts: BTreeMap<_, _> =
        (0..size).map(contract).map(|c| (c.customer.clone(), Arc::new(c))).collect();
    let name = format!("customer-{}", size / 2);
    time(OPERATIONS, || {
        for _ in 0..OPERATIONS {
            let found = contracts.get(name.as_str()).filter(|c| c.accepts_key("b"));
            std::hint::black_box(found.map(Arc::clone));
        }
    })
}

fn fold(size: usize) -> (f64, f64) {
    const OPERATIONS: u32 = 100;
    let mut fold = filled(size);
    let snapshot = serde_json::to_string(&fold).unwrap_or_default();
    let customer: smol_str::SmolStr = "customer-0".into();
    let mut n = 0;
    let ns = time(OPERATIONS, || {
        for _ in 0..OPERATIONS {
            n += 1;
            let publish = Publish {
                publish_id: format!("q{n}").into(),
                customer: customer.clone(),
                base_revision: fold.get(&customer).map_or(0, |f| f.revision),
                contract: Some(Arc::new(contract(0))),
            };
            let next = fold.next_offset();
            fold.apply(next, Some(&ConfigRecord::Publish(publish)));
            // What the controller hands to the readers is a copy.
            std::hint::black_box(fold.clone());
        }
    });
    (ns, count(snapshot.len()) / count(size.min(100)))
}

fn gate(size: usize) -> f64 {
    const OPERATIONS: u32 = 10_000;
    let now = Instant::now();
    let mut gate = AdmissionController::new(1_000);
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
        gate.admit(request, now);
        gate.finish(&request.customer, Duration::from_millis(50));
    }
    time(OPERATIONS, || {
        for i in 0..OPERATIONS {
            let request = &requests[usize::try_from(i).unwrap_or(0) % size];
            gate.admit(request, now);
            gate.finish(&request.customer, Duration::from_millis(50));
            std::hint::black_box(gate.next_to_run());
        }
    })
}

fn desk(size: usize) -> (f64, f64) {
    let now = Instant::now();
    let before = resident();
    let addr = SocketAddr::from(([10, 0, 0, 1], 80));
    let mut desk = TicketStore::new(addr, 1, [7; 32], now);
    let began = Instant::now();
    for _ in 0..size {
        let ticket = desk.mint("savanna", "status", now).to_string();
        let Ok(ticket) = ticket.parse() else { continue };
        if let Redeemed::Run(seq) = desk.redeem(&ticket, "savanna", "status", now) {
            let answer = TargetResponse { status: 200, body: vec![b'x'; 100] };
            desk.record_outcome(seq, &Outcome::Answered(Arc::new(answer)));
        }
    }
    let ns = began.elapsed().as_secs_f64() * 1e9 / count(size);
    (ns, (resident() - before).max(0.0) / count(desk.used_tickets()))
}

/// All members' datagrams over some virtual seconds, after all know all.
fn membership(size: usize) -> (f64, f64) {
    const SECONDS: u32 = 40;
    const HEADERS: usize = 28;
    let addr = |i: usize| {
        let (high, low) = (u8::try_from(i / 256), u8::try_from(i % 256));
        SocketAddr::from(([10, 0, high.unwrap_or(0), low.unwrap_or(0)], 7))
    };
    let mut now = Instant::now();
    let member = |i| {
        let me = LocalMember {
            id: format!("host-{i}/entry").into(),
            addr: addr(i),
            data_centre: format!("dc{}", i % 8).into(),
            incarnation: 1,
        };
        let mut membership = Membership::new(me, i as u64, now);
        membership.set_seeds(vec![addr(0), addr(1)]);
        (addr(i), membership)
    };
    let mut members: BTreeMap<_, _> = (0..size).map(member).collect();
    let mut spent = Duration::ZERO;
    let mut bytes = 0;
    for second in 0..120 + SECONDS {
        let mut out: Vec<(SocketAddr, Datagram)> = Vec::new();
        let began = Instant::now();
        for (&from, member) in &mut members {
            out.extend(member.tick(now).into_iter().map(|d| (from, d)));
        }
        let mut sent_now = 0;
        while let Some((from, datagram)) = out.pop() {
            let encoded = datagram.gossip.encode_to_vec();
            sent_now += encoded.len() + HEADERS;
            let decoded = cassia_member::Gossip::decode(encoded.as_slice());
            if let (Some(member), Ok(gossip)) = (members.get_mut(&datagram.to), decoded) {
                let answers = member.receive(from, &gossip, now);
                out.extend(answers.into_iter().map(|d| (datagram.to, d)));
            }
        }
        if second >= 120 {
            spent += began.elapsed();
            bytes += sent_now;
        }
        now += Duration::from_secs(1);
    }
    let member_seconds = count(size) * f64::from(SECONDS);
    (spent.as_secs_f64() * 1e9 / member_seconds, count(bytes) / member_seconds)
}

fn lots(size: usize) -> (f64, f64) {
    const LOTS: usize = 20;
    let spec =
        LotSpec { groups: size / 8, group_size: 8, staleness_bound: 2, idle_weight_percent: 100 };
    let mut keeper = SampleBuffer::new(1, 0, spec);
    let mut cursor = Cursor::default();
    let before = resident();
    let began = Instant::now();
    let mut lots = Vec::new();
    for _ in 0..LOTS {
        let first = cursor.next_prompt;
        let prompts = (first..).take(spec.groups).map(|p| format!("prompt {p}").into()).collect();
        let pull = Pull { cursor, version: 1, prompts };
        keeper.pull(&pull);
        for start in keeper.next_tasks(size) {
            keeper.finish(Sample {
                id: start.id,
                prompt: start.prompt,
                text: "x".repeat(2_000),
                label: Label { spans: vec![Span { tokens: 500, version: 1 }], cached: Vec::new() },
                score: None,
            });
        }
        if let cassia_sample::PullOutcome::Lot(lot) = keeper.pull(&pull) {
            cursor = lot.cursor;
            lots.push(lot);
        }
    }
    let ns = began.elapsed().as_secs_f64() * 1e9 / count(size * LOTS);
    (ns, (resident() - before).max(0.0) / count(size * LOTS))
}

fn lease() -> (f64, f64) {
    const OPERATIONS: u32 = 10_000;
    let act = |nonce, kind| {
        let resource = "orders/caption".into();
        LeaseRecord::Op(LeaseOp {
            resource,
            holder: "host-17".into(),
            boot: u64::MAX,
            nonce,
            kind,
            quiesced: false,
        })
    };
    let mut table = LeaseTable::default();
    table.apply(0, Some(&act(0, OpKind::Claim { supersedes: None })));
    let record = act(1, OpKind::Renew { fence: 0 });
    let ns = time(OPERATIONS, || {
        for _ in 0..OPERATIONS {
            let next = table.next_offset();
            table.apply(next, Some(&record));
        }
    });
    (ns, count(serde_json::to_string(&record).unwrap_or_default().len()))
}
