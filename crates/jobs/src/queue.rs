//! The order in which the items of a batch job start.
//!
//! A trainer consumes whole groups, so finishing half of a job's items is only
//! worth half of its groups if those items form complete groups. With enough
//! engines for all items, the longest item starts first, whichever group it
//! belongs to: the job is complete when its longest item is. With too few
//! engines, the groups that can be completed before the deadline start first,
//! smallest first, and the other groups follow. The largest groups, those that
//! the trainer does not wait for, start last.

use std::cmp::Reverse;
use std::collections::HashMap;

/// An item that has not started.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PendingItem<'a> {
    /// Index of the item in the job.
    pub index: u32,
    /// Name of its group; empty if the item is a group of its own.
    pub group: &'a str,
    /// Expected number of output tokens.
    pub tokens: u64,
    /// Whether the trainer may wait for the item's group no matter which other
    /// groups are complete, as for a group resubmitted from an earlier job.
    pub required: bool,
}

/// Items of one group that have not started.
#[derive(Clone, Debug, Default)]
struct Group {
    /// Index and expected tokens of each item, in ascending order of tokens.
    items: Vec<(u32, u64)>,
    /// Sum of the items' expected tokens.
    tokens: u64,
    started: bool,
    required: bool,
    /// Whether the trainer can go on without this group.
    optional: bool,
}

/// The items of a job that have not started, grouped and prioritised.
#[derive(Clone, Debug)]
pub struct ItemQueue {
    groups: Vec<Group>,
}

impl ItemQueue {
    /// Builds the queue of the pending items. `groups_wanted` is the number of
    /// groups that the trainer still waits for; 0 stands for all.
    #[must_use]
    pub fn new<'a>(
        pending: impl IntoIterator<Item = PendingItem<'a>>,
        groups_wanted: usize,
    ) -> Self {
        let (mut groups, mut group_by_name) = (Vec::<Group>::new(), HashMap::new());
        for item in pending {
            let new_index = || groups.len();
            let i = match item.group {
                "" => new_index(),
                name => *group_by_name.entry(name).or_insert_with(new_index),
            };
            if i == groups.len() {
                groups.push(Group::default());
            }
            groups[i].items.push((item.index, item.tokens));
            groups[i].tokens += item.tokens;
            groups[i].required |= item.required;
        }
        let count = groups.len();
        for group in &mut groups {
            // `pop` removes from the end: of equally long items, the one with
            // the lowest index must be last.
            group.items.sort_by_key(|(index, tokens)| (*tokens, Reverse(*index)));
        }
        if groups_wanted > 0 {
            let mut largest: Vec<_> = groups.iter_mut().filter(|group| !group.required).collect();
            largest.sort_by_key(|group| Reverse(group.tokens));
            let optional = count.saturating_sub(groups_wanted);
            largest.into_iter().take(optional).for_each(|group| group.optional = true);
        }
        Self { groups }
    }

    /// Returns whether all items have started.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.groups.iter().all(|group| group.items.is_empty())
    }

    /// Removes and returns the item to start next, or `None` if all items have
    /// started. `token_budget` is the number of tokens that can be generated
    /// for this job before its deadline.
    pub fn pop(&mut self, token_budget: u64) -> Option<u32> {
        let mut candidates: Vec<_> =
            (0..self.groups.len()).filter(|i| !self.groups[*i].items.is_empty()).collect();
        let rank = |group: &Group| (group.optional, !group.started, group.tokens);
        candidates.sort_by_key(|i| rank(&self.groups[*i]));
        let mut tokens = 0;
        let in_time = candidates.iter().take_while(|i| {
            let group = &self.groups[**i];
            tokens += group.tokens;
            tokens <= token_budget && !group.optional
        });
        let count = in_time.count().max(1);
        let next = candidates.into_iter().take(count).max_by_key(|i| {
            let (index, tokens) = self.groups[*i].items.last().copied().unwrap_or_default();
            (tokens, Reverse(index))
        })?;
        let group = &mut self.groups[next];
        let (index, tokens) = group.items.pop()?;
        group.started = true;
        group.tokens -= tokens;
        Some(index)
    }
}
