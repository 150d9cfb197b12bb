//! The requests of one customer.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Instant;

use crate::RequestClass;
use crate::WaiterId;

/// Position of a waiting request among those of its customer and class.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct WaitKey {
    pub(crate) priority: u32,
    pub(crate) deadline: Instant,
    pub(crate) waiter: WaiterId,
}

/// The waiting requests of one class.
#[derive(Debug, Default)]
struct ClassQueue {
    keys: BTreeSet<WaitKey>,
    /// Number of them by priority.
    levels: BTreeMap<u32, usize>,
}

/// A customer that has running or waiting requests.
#[derive(Debug, Default)]
pub(crate) struct Customer {
    pub(crate) running: u32,
    /// Virtual time at which its next request may start.
    pub(crate) start: u64,
    /// Orders customers with the same `start` by who waits longer for a turn.
    pub(crate) since: u64,
    callers: ClassQueue,
    rewards: ClassQueue,
}

impl ClassQueue {
    fn insert(&mut self, key: WaitKey) {
        if self.keys.insert(key) {
            *self.levels.entry(key.priority).or_default() += 1;
        }
    }

    fn remove(&mut self, key: &WaitKey) {
        if !self.keys.remove(key) {
            return;
        }
        if let Some(count) = self.levels.get_mut(&key.priority) {
            *count -= 1;
            if *count == 0 {
                self.levels.remove(&key.priority);
            }
        }
    }
}

impl Customer {
    pub(crate) fn waiting(&self) -> usize {
        self.callers.keys.len() + self.rewards.keys.len()
    }

    pub(crate) fn has_rewards(&self) -> bool {
        !self.rewards.keys.is_empty()
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.running == 0 && self.waiting() == 0
    }

    pub(crate) fn insert(&mut self, class: RequestClass, key: WaitKey) {
        self.queue_mut(class).insert(key);
    }

    pub(crate) fn remove(&mut self, class: RequestClass, key: &WaitKey) {
        self.queue_mut(class).remove(key);
    }

    /// The request that is served first.
    pub(crate) fn first(&self) -> Option<WaiterId> {
        let first = self.callers.keys.first().or_else(|| self.rewards.keys.first());
        first.map(|key| key.waiter)
    }

    /// The reward call that is served first.
    pub(crate) fn first_reward(&self) -> Option<WaiterId> {
        self.rewards.keys.first().map(|key| key.waiter)
    }

    /// The request that is served last.
    pub(crate) fn last(&self) -> Option<WaiterId> {
        let last = self.rewards.keys.last().or_else(|| self.callers.keys.last());
        last.map(|key| key.waiter)
    }

    /// Number of waiting requests that are served before a new one.
    pub(crate) fn ahead_of(&self, class: RequestClass, priority: u32) -> usize {
        let (queue, before) = match class {
            RequestClass::Caller => (&self.callers, 0),
            RequestClass::Reward => (&self.rewards, self.callers.keys.len()),
        };
        before + queue.levels.range(..=priority).map(|(_, count)| count).sum::<usize>()
    }

    fn queue_mut(&mut self, class: RequestClass) -> &mut ClassQueue {
        match class {
            RequestClass::Caller => &mut self.callers,
            RequestClass::Reward => &mut self.rewards,
        }
    }
}
