//! The gates before the kinds of targets, and the requests that wait there.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Instant;

use cassia_ids::CustomerId;
use cassia_node::lock;
use cassia_route::Admission;
use cassia_route::AdmissionController;
use cassia_route::AdmissionRequest;
use cassia_route::AdmissionState;
use cassia_route::TargetKind;
use cassia_route::WaiterId;
use tokio::sync::oneshot;
use tokio::time::timeout_at;

/// All gates of this process.
#[derive(Debug, Default)]
pub(crate) struct Gates(Mutex<BTreeMap<TargetKind, KindGate>>);

#[derive(Debug)]
struct KindGate {
    gate: AdmissionController,
    waiters: HashMap<WaiterId, oneshot::Sender<()>>,
}

/// A request that was let through; its slot is free again once it is dropped.
#[derive(Debug)]
pub(crate) struct Pass {
    gates: Arc<Gates>,
    kind: TargetKind,
    customer: CustomerId,
    since: Instant,
}

/// A request that was not let through, and did not run.
#[derive(Debug)]
pub(crate) struct Refused {
    pub(crate) return_at: Instant,
}

/// What a request does after it was looked at under the lock.
enum Step {
    Go,
    Wait(WaiterId, oneshot::Receiver<()>),
    Refused(Refused),
}

impl Gates {
    /// Waits for a slot, at most until the request's deadline.
    pub(crate) async fn enter(
        self: &Arc<Self>,
        kind: &TargetKind,
        capacity: u32,
        req: &AdmissionRequest,
    ) -> Result<Pass, Refused> {
        match self.look(kind, capacity, req) {
            Step::Go => Ok(self.pass(kind, req)),
            Step::Refused(refused) => Err(refused),
            Step::Wait(waiter, called) => {
                let called = timeout_at(req.deadline.into(), called).await;
                if called.is_ok() || !self.give_up(kind, req, waiter) {
                    return Ok(self.pass(kind, req));
                }
                Err(Refused { return_at: Instant::now() })
            }
        }
    }

    pub(crate) fn state(&self, now: Instant) -> Vec<(TargetKind, AdmissionState)> {
        self.lock().iter().map(|(kind, g)| (kind.clone(), g.gate.state(now))).collect()
    }

    fn look(&self, kind: &TargetKind, capacity: u32, req: &AdmissionRequest) -> Step {
        let mut gates = self.lock();
        if !gates.contains_key(kind) {
            let gate =
                KindGate { gate: AdmissionController::new(capacity), waiters: HashMap::new() };
            gates.insert(kind.clone(), gate);
        }
        let Some(gate) = gates.get_mut(kind) else {
            return Step::Refused(Refused { return_at: Instant::now() });
        };
        gate.gate.set_capacity(capacity);
        match gate.gate.admit(req, Instant::now()) {
            Admission::Run => Step::Go,
            Admission::Refused { retry_at: return_at } => Step::Refused(Refused { return_at }),
            Admission::Wait(waiter) => {
                let (tx, rx) = oneshot::channel();
                gate.waiters.insert(waiter, tx);
                gate.call_next();
                Step::Wait(waiter, rx)
            }
        }
    }

    fn pass(self: &Arc<Self>, kind: &TargetKind, req: &AdmissionRequest) -> Pass {
        Pass {
            gates: Arc::clone(self),
            kind: kind.clone(),
            customer: req.customer.clone(),
            since: Instant::now(),
        }
    }

    /// False if the waiter was called in the meantime.
    fn give_up(&self, kind: &TargetKind, req: &AdmissionRequest, waiter: WaiterId) -> bool {
        let mut gates = self.lock();
        let Some(gate) = gates.get_mut(kind) else {
            return true;
        };
        gate.waiters.remove(&waiter);
        gate.gate.cancel(&req.customer, waiter)
    }

    fn leave(&self, pass: &Pass) {
        if let Some(gate) = self.lock().get_mut(&pass.kind) {
            gate.gate.finish(&pass.customer, pass.since.elapsed());
            gate.call_next();
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<TargetKind, KindGate>> {
        lock(&self.0)
    }
}

impl KindGate {
    fn call_next(&mut self) {
        while let Some(waiter) = self.gate.next_to_run() {
            if let Some(tx) = self.waiters.remove(&waiter) {
                // One that has just given up finds that it was called, and
                // leaves again at once.
                let _ = tx.send(());
            }
        }
    }
}

impl Drop for Pass {
    fn drop(&mut self) {
        self.gates.leave(self);
    }
}
