//! Order of items when a job arrives while most engines load new weights or
//! are gone, so that not all of its groups can be completed in time.

use cassia_jobs::ItemQueue;
use cassia_jobs::PendingItem;
use proptest::prelude::prop_assert_eq;
use proptest::proptest;
use rstest::rstest;

/// Builds the queue of groups of four items with the given tokens, the first
/// `required` items of which are in required groups. Also returns the tokens
/// of each item.
fn queue_with(groups: &[[u64; 4]], wanted: usize, required: usize) -> (ItemQueue, Vec<u64>) {
    let names: Vec<_> = (0..groups.len()).map(|g| format!("g{g}")).collect();
    let tokens: Vec<_> = groups.concat();
    let items = tokens.iter().enumerate().map(|(n, tokens)| PendingItem {
        index: u32::try_from(n).expect("fits u32"),
        group: &names[n / 4],
        tokens: *tokens,
        required: n < required,
    });
    (ItemQueue::new(items, wanted), tokens.clone())
}

fn queue(groups: &[[u64; 4]], wanted: usize) -> (ItemQueue, Vec<u64>) {
    queue_with(groups, wanted, 0)
}

fn order(mut queue: ItemQueue, token_budget: u64) -> Vec<u32> {
    std::iter::from_fn(|| queue.pop(token_budget)).collect()
}

/// Simulates a job on slots that each generate one token per time unit.
/// Returns the number of groups completed by the deadline.
fn groups_completed_by(groups: &[[u64; 4]], wanted: usize, slots: usize, deadline: u64) -> usize {
    let (mut queue, tokens) = queue(groups, wanted);
    let mut free_at = vec![0_u64; slots];
    let mut completed_at = vec![0_u64; groups.len()];
    loop {
        let slot = (0..slots).min_by_key(|slot| free_at[*slot]).expect("at least one slot");
        let now = free_at[slot];
        let token_budget = deadline.saturating_sub(now) * slots as u64;
        let Some(index) = queue.pop(token_budget) else { break };
        free_at[slot] = now + tokens[index as usize];
        let group = &mut completed_at[index as usize / 4];
        *group = (*group).max(free_at[slot]);
    }
    completed_at.into_iter().filter(|at| *at <= deadline).count()
}

#[test]
fn with_time_for_all_the_longest_items_start_first() {
    let (queue, tokens) = queue(&[[1, 9, 3, 4], [8, 2, 7, 5]], 2);
    let order: Vec<_> = order(queue, u64::MAX).iter().map(|i| tokens[*i as usize]).collect();
    assert_eq!(order, [9, 8, 7, 5, 4, 3, 2, 1]);
}

#[test]
fn without_time_for_all_groups_start_one_by_one_smallest_first() {
    let (queue, _) = queue(&[[9, 9, 9, 9], [1, 2, 1, 1], [5, 5, 5, 5]], 3);
    assert_eq!(order(queue, 0), [5, 4, 6, 7, 8, 9, 10, 11, 0, 1, 2, 3]);
}

#[test]
fn groups_that_the_trainer_does_not_wait_for_start_last() {
    let (queue, _) = queue(&[[50, 1, 1, 1], [2, 2, 2, 2], [3, 3, 3, 3]], 2);
    let order = order(queue, u64::MAX);
    assert!(order[..8].iter().all(|index| *index >= 4), "{order:?}");
}

/// A group left incomplete by an earlier job is resubmitted, and the trainer
/// waits for it whichever other groups are complete.
#[test]
fn a_required_group_is_never_left_for_last() {
    let groups = [[50, 9, 9, 9], [2, 2, 2, 2], [3, 3, 3, 3], [4, 4, 4, 4]];
    let (queue, _) = queue_with(&groups, 3, 4);
    let order = order(queue, u64::MAX);
    assert_eq!(order[0], 0, "its longest item must start first: {order:?}");
    assert!(order[12..].iter().all(|index| *index >= 12), "{order:?}");
}

/// Ten equal groups of 4 x 10 tokens with a deadline of 100.
#[rstest]
#[case::enough(8, 10)]
#[case::half(2, 5)]
#[case::a_tenth(1, 2)]
fn groups_completed_in_time_are_in_proportion_to_the_slots(
    #[case] slots: usize,
    #[case] min: usize,
) {
    let completed = groups_completed_by(&[[10; 4]; 10], 10, slots, 100);
    assert!(completed >= min, "{completed} of 10 on {slots} slots");
}

#[test]
fn a_job_with_a_long_item_is_in_time_where_its_makespan_allows() {
    // The long item needs all of the time, so it must start first.
    let groups = [[5, 5, 5, 5], [5, 5, 5, 40], [5, 5, 5, 5]];
    assert_eq!(groups_completed_by(&groups, 3, 3, 40), 3);
}

proptest! {
    #[test]
    fn every_item_starts_once(
        groups in proptest::collection::vec(proptest::array::uniform4(0_u64..50), 0..12),
        wanted in 0_usize..14,
        budgets in proptest::collection::vec(0_u64..600, 48),
    ) {
        let (mut queue, tokens) = queue(&groups, wanted);
        let mut started: Vec<_> =
            budgets.iter().map_while(|budget| queue.pop(*budget)).collect();
        prop_assert_eq!(queue.is_empty(), true);
        started.sort_unstable();
        let count = u32::try_from(tokens.len()).expect("fits u32");
        prop_assert_eq!(started, (0..count).collect::<Vec<_>>());
    }
}
