//! The admission controllers and the requests that wait for admission.

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

/// The admission controllers of this process, one for each kind of target.
#[derive(Debug, Default)]
pub(crate) struct AdmissionControllers(Mutex<BTreeMap<TargetKind, Queue>>);

#[derive(Debug)]
struct Queue {
    controller: AdmissionController,
    waiters: HashMap<WaiterId, oneshot::Sender<()>>,
}

/// Lets an admitted request run; released on drop.
#[derive(Debug)]
pub(crate) struct Permit {
    controllers: Arc<AdmissionControllers>,
    kind: TargetKind,
    customer: CustomerId,
    since: Instant,
}

/// The request was refused and did not run.
#[derive(Debug)]
pub(crate) struct Refused {
    pub(crate) retry_at: Instant,
}

enum Decision {
    Run,
    Wait(WaiterId, oneshot::Receiver<()>),
    Refused(Refused),
}

impl AdmissionControllers {
    /// Waits for a permit, at most until the request's deadline.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        kind: &TargetKind,
        capacity: u32,
        req: &AdmissionRequest,
    ) -> Result<Permit, Refused> {
        match self.admit(kind, capacity, req) {
            Decision::Run => Ok(self.permit(kind, req)),
            Decision::Refused(refused) => Err(refused),
            Decision::Wait(waiter, rx) => {
                let admitted = timeout_at(req.deadline.into(), rx).await;
                if admitted.is_ok() || !self.cancel(kind, req, waiter) {
                    return Ok(self.permit(kind, req));
                }
                Err(Refused { retry_at: Instant::now() })
            }
        }
    }

    /// Returns the state of each admission controller, for a state dump.
    pub(crate) fn state(&self, now: Instant) -> Vec<(TargetKind, AdmissionState)> {
        self.lock().iter().map(|(kind, q)| (kind.clone(), q.controller.state(now))).collect()
    }

    fn admit(&self, kind: &TargetKind, capacity: u32, req: &AdmissionRequest) -> Decision {
        let mut queues = self.lock();
        if !queues.contains_key(kind) {
            let controller = AdmissionController::new(capacity);
            queues.insert(kind.clone(), Queue { controller, waiters: HashMap::new() });
        }
        let Some(queue) = queues.get_mut(kind) else {
            return Decision::Refused(Refused { retry_at: Instant::now() });
        };
        queue.controller.set_capacity(capacity);
        match queue.controller.admit(req, Instant::now()) {
            Admission::Run => Decision::Run,
            Admission::Refused { retry_at } => Decision::Refused(Refused { retry_at }),
            Admission::Wait(waiter) => {
                let (tx, rx) = oneshot::channel();
                queue.waiters.insert(waiter, tx);
                queue.wake_next();
                Decision::Wait(waiter, rx)
            }
        }
    }

    fn permit(self: &Arc<Self>, kind: &TargetKind, req: &AdmissionRequest) -> Permit {
        Permit {
            controllers: Arc::clone(self),
            kind: kind.clone(),
            customer: req.customer.clone(),
            since: Instant::now(),
        }
    }

    /// Removes a waiter; returns false if it has been admitted in the
    /// meantime.
    fn cancel(&self, kind: &TargetKind, req: &AdmissionRequest, waiter: WaiterId) -> bool {
        let mut queues = self.lock();
        let Some(queue) = queues.get_mut(kind) else {
            return true;
        };
        queue.waiters.remove(&waiter);
        queue.controller.cancel(&req.customer, waiter)
    }

    fn release(&self, permit: &Permit) {
        if let Some(queue) = self.lock().get_mut(&permit.kind) {
            queue.controller.finish(&permit.customer, permit.since.elapsed());
            queue.wake_next();
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<TargetKind, Queue>> {
        lock(&self.0)
    }
}

impl Queue {
    /// Wakes the waiters that may run now.
    fn wake_next(&mut self) {
        while let Some(waiter) = self.controller.next_to_run() {
            if let Some(tx) = self.waiters.remove(&waiter) {
                // A waiter that times out at this moment learns from `cancel`
                // that it was admitted; past its deadline, it ends at once.
                let _ = tx.send(());
            }
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.controllers.release(self);
    }
}
