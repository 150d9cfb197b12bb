//! Ways to pick one of several targets.

use std::sync::Arc;

use rand::Rng;

use crate::LoadScope;
use crate::Target;
use crate::TargetQuery;
use crate::rendezvous::weight;
use crate::target::SCORE_UNIT;

/// A target in the preferred data centre is chosen unless its score exceeds
/// that of the better of two random targets by more than this.
const DATA_CENTRE_ALLOWANCE: u64 = SCORE_UNIT / 2;
/// The target with the prompt's prefix in its cache is chosen unless its score
/// exceeds that of the better of two random targets by more than this.
const AFFINITY_ALLOWANCE: u64 = SCORE_UNIT / 4;

/// Returns the first eligible target from a random index on.
pub(crate) fn pick_random<'a>(
    all: &'a [Arc<Target>],
    is_eligible: impl Fn(&Arc<Target>) -> bool,
    rng: &mut impl Rng,
) -> Option<&'a Arc<Target>> {
    if all.is_empty() {
        return None;
    }
    let (before, after) = all.split_at(rng.random_range(0..all.len()));
    after.iter().chain(before).find(|t| is_eligible(t))
}

/// Returns the less loaded of two random eligible targets, unless one in the preferred
/// data centre or with the prompt's prefix is not much more loaded.
pub(crate) fn two_choices<'a>(
    all: &'a [Arc<Target>],
    query: &TargetQuery<'_>,
    now_ms: u64,
    is_eligible: impl Fn(&Arc<Target>) -> bool,
    rng: &mut impl Rng,
) -> Option<&'a Arc<Target>> {
    let score = |t: &Target| t.score(query.load_scope, now_ms);
    let first = pick_random(all, &is_eligible, rng)?;
    let second = pick_random(all, &is_eligible, rng)?;
    let better = if score(second) < score(first) { second } else { first };
    let near = all
        .iter()
        .filter(|t| is_eligible(t) && query.preferred_data_centre == Some(&t.info.data_centre));
    if let Some(near) = near.min_by_key(|t| score(t)) {
        let limit = score(better) + DATA_CENTRE_ALLOWANCE;
        return Some(if score(near) <= limit { near } else { better });
    }
    let Some(prefix_hash) = query.affinity else {
        return Some(better);
    };
    let preferred =
        all.iter().filter(|t| is_eligible(t)).max_by_key(|t| weight(prefix_hash, &t.info.id))?;
    let limit = score(better) + AFFINITY_ALLOWANCE;
    Some(if score(preferred) <= limit { preferred } else { better })
}

/// Returns the eligible target with the lowest reported load.
pub(crate) fn least_reported(
    all: &[Arc<Target>],
    scope: LoadScope,
    is_eligible: impl Fn(&Arc<Target>) -> bool,
) -> Option<&Arc<Target>> {
    all.iter().filter(|t| is_eligible(t)).min_by_key(|t| t.reported_others(scope))
}
