//! Orders over all customers and all waiting requests.

use std::collections::BTreeSet;
use std::time::Instant;

use cassia_ids::CustomerId;

use crate::RequestClass;
use crate::WaiterId;
use crate::customer::Customer;

/// A customer's place in the order of turns: start tag, who waits longer, name.
type TurnKey = (u64, u64, CustomerId);

/// The customers that have waiting requests, in several orders.
#[derive(Debug, Default)]
pub(crate) struct CustomerIndex {
    turns: BTreeSet<TurnKey>,
    /// Those that have waiting reward calls.
    reward_turns: BTreeSet<TurnKey>,
    /// By number of waiting requests.
    lengths: BTreeSet<(usize, CustomerId)>,
}

/// The deadlines of all waiting requests, by class.
#[derive(Debug, Default)]
pub(crate) struct DeadlineIndex {
    callers: BTreeSet<(Instant, WaiterId)>,
    rewards: BTreeSet<(Instant, WaiterId)>,
}

impl CustomerIndex {
    /// Adds a customer; call `remove` before it changes.
    pub(crate) fn insert(&mut self, id: &CustomerId, customer: &Customer) {
        if customer.waiting() == 0 {
            return;
        }
        let key = (customer.start, customer.since, id.clone());
        if customer.has_rewards() {
            self.reward_turns.insert(key.clone());
        }
        self.turns.insert(key);
        self.lengths.insert((customer.waiting(), id.clone()));
    }

    pub(crate) fn remove(&mut self, id: &CustomerId, customer: &Customer) {
        if customer.waiting() == 0 {
            return;
        }
        let key = (customer.start, customer.since, id.clone());
        self.turns.remove(&key);
        self.reward_turns.remove(&key);
        self.lengths.remove(&(customer.waiting(), id.clone()));
    }

    /// Number of customers with waiting requests.
    pub(crate) fn len(&self) -> usize {
        self.turns.len()
    }

    pub(crate) fn next(&self) -> Option<&CustomerId> {
        self.turns.first().map(|(.., id)| id)
    }

    pub(crate) fn next_with_rewards(&self) -> Option<&CustomerId> {
        self.reward_turns.first().map(|(.., id)| id)
    }

    /// The customer with the most waiting requests, and their number.
    pub(crate) fn longest(&self) -> Option<&(usize, CustomerId)> {
        self.lengths.last()
    }
}

impl DeadlineIndex {
    pub(crate) fn insert(&mut self, class: RequestClass, deadline: Instant, waiter: WaiterId) {
        self.of_mut(class).insert((deadline, waiter));
    }

    pub(crate) fn remove(&mut self, class: RequestClass, deadline: Instant, waiter: WaiterId) {
        self.of_mut(class).remove(&(deadline, waiter));
    }

    pub(crate) fn first(&self, class: RequestClass) -> Option<(Instant, WaiterId)> {
        self.of(class).first().copied()
    }

    pub(crate) fn count(&self, class: RequestClass) -> usize {
        self.of(class).len()
    }

    fn of(&self, class: RequestClass) -> &BTreeSet<(Instant, WaiterId)> {
        match class {
            RequestClass::Caller => &self.callers,
            RequestClass::Reward => &self.rewards,
        }
    }

    fn of_mut(&mut self, class: RequestClass) -> &mut BTreeSet<(Instant, WaiterId)> {
        match class {
            RequestClass::Caller => &mut self.callers,
            RequestClass::Reward => &mut self.rewards,
        }
    }
}
