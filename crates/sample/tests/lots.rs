//! Each sample is delivered to its trainer exactly once and fresh enough, with
//! keepers that die, pause and wake, answers that are lost or late, and a
//! trainer that restarts from its checkpoint.

use std::collections::BTreeMap;

use cassia_sample::Cursor;
use cassia_sample::Keeper;
use cassia_sample::Label;
use cassia_sample::Lot;
use cassia_sample::LotSpec;
use cassia_sample::Pull;
use cassia_sample::Pulled;
use cassia_sample::Sample;
use cassia_sample::Span;
use cassia_sample::Start;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;
use smol_str::SmolStr;

const SPEC: LotSpec =
    LotSpec { groups: 2, group_size: 2, staleness_bound: 2, idle_weight_percent: 100 };
const KEEPERS: usize = 2;

#[derive(Clone, Copy, Debug)]
enum Step {
    /// The trainer pulls at a keeper, and the answer arrives or is lost.
    Pull { keeper: usize, lost: bool },
    /// An answer that was lost arrives after all.
    LateAnswer { index: usize },
    /// A keeper's samples end: well, or not.
    Generate { keeper: usize, fail_every: usize },
    /// The trainer ends its step: a new version.
    Train,
    /// The trainer writes its checkpoint.
    Checkpoint,
    /// The trainer restarts from its checkpoint.
    Crash,
    /// A keeper hands on what it kept, which arrives or is lost.
    HandOn { keeper: usize, lost: bool },
    /// A keeper dies with all that it kept.
    Replace { keeper: usize },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..KEEPERS, proptest::bool::weighted(0.3))
            .prop_map(|(keeper, lost)| Step::Pull { keeper, lost }),
        1 => (0..4_usize).prop_map(|index| Step::LateAnswer { index }),
        6 => (0..KEEPERS, 0..4_usize)
            .prop_map(|(keeper, fail_every)| Step::Generate { keeper, fail_every }),
        3 => Just(Step::Train),
        2 => Just(Step::Checkpoint),
        1 => Just(Step::Crash),
        2 => (0..KEEPERS, proptest::bool::weighted(0.3))
            .prop_map(|(keeper, lost)| Step::HandOn { keeper, lost }),
        1 => (0..KEEPERS).prop_map(|keeper| Step::Replace { keeper }),
    ]
}

/// What the trainer has taken in, in the line of its checkpoints.
#[derive(Clone, Debug, Default)]
struct Trained {
    cursor: Cursor,
    times: BTreeMap<String, u32>,
    prompts: Vec<u64>,
}

struct World {
    keepers: Vec<Keeper>,
    boots: u64,
    version: u64,
    running: Vec<Vec<(Start, u64)>>,
    now: Trained,
    checkpoint: Trained,
    late: Vec<Lot>,
    /// Lots that each sample was handed out in, by any keeper.
    lots_of: BTreeMap<String, Vec<Cursor>>,
}

impl World {
    fn new() -> Self {
        Self {
            keepers: (0..KEEPERS).map(|i| Keeper::new(i as u64, 0, SPEC)).collect(),
            boots: KEEPERS as u64,
            version: 1,
            running: vec![Vec::new(); KEEPERS],
            now: Trained::default(),
            checkpoint: Trained::default(),
            late: Vec::new(),
            lots_of: BTreeMap::new(),
        }
    }

    fn pull(&self) -> Pull {
        let first = self.now.cursor.next_prompt;
        let prompts = (first..first + 6).map(|p| format!("p{p}").into()).collect();
        Pull { cursor: self.now.cursor, version: self.version, prompts }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Pull { keeper, lost } => {
                let pull = self.pull();
                let pulled = self.keepers[keeper].pull(&pull);
                self.start(keeper);
                if let Pulled::Lot(lot) = pulled {
                    self.check_handed(&lot);
                    if lost {
                        self.late.push(lot);
                    } else {
                        self.take(&lot);
                    }
                }
            }
            Step::LateAnswer { index } if index < self.late.len() => {
                // It is dropped with its connection, unless the trainer still
                // waits for just this lot.
                let lot = self.late.remove(index);
                let waits = lot.cursor.lots == self.now.cursor.lots + 1
                    && lot.samples[0].prompt == self.now.cursor.next_prompt;
                if waits {
                    self.take(&lot);
                }
            }
            Step::LateAnswer { .. } => {}
            Step::Generate { keeper, fail_every } => self.generate(keeper, fail_every),
            Step::Train => self.version += 1,
            Step::Checkpoint => self.checkpoint = self.now.clone(),
            Step::Crash => self.now = self.checkpoint.clone(),
            Step::HandOn { keeper, lost } => {
                let kept = self.keepers[keeper].give_away();
                let text = serde_json::to_string(&kept).expect("it can be written");
                if !lost {
                    let kept = serde_json::from_str(&text).expect("it can be read");
                    self.keepers[1 - keeper].take_over(kept);
                }
            }
            Step::Replace { keeper } => {
                self.keepers[keeper] = Keeper::new(self.boots, 0, SPEC);
                self.boots += 1;
                self.running[keeper].clear();
            }
        }
    }

    fn start(&mut self, keeper: usize) {
        let starts = self.keepers[keeper].start(5);
        let version = self.version;
        self.running[keeper].extend(starts.into_iter().map(|start| (start, version)));
    }

    fn generate(&mut self, keeper: usize, fail_every: usize) {
        for (i, (start, version)) in
            std::mem::take(&mut self.running[keeper]).into_iter().enumerate()
        {
            if fail_every > 0 && i % fail_every == fail_every - 1 {
                self.keepers[keeper].failed(start.prompt, &start.id);
                continue;
            }
            let label = Label { spans: vec![Span { tokens: 1, version }], cached: Vec::new() };
            self.keepers[keeper].finished(Sample {
                id: start.id,
                prompt: start.prompt,
                text: String::new(),
                label,
                score: None,
            });
        }
        self.start(keeper);
    }

    fn check_handed(&mut self, lot: &Lot) {
        assert_eq!(lot.samples.len(), SPEC.groups * SPEC.group_size);
        for sample in &lot.samples {
            let staleness = sample.label.staleness(self.version);
            assert!(staleness <= SPEC.staleness_bound, "a sample is {staleness} versions old");
            let lots = self.lots_of.entry(sample.id.to_string()).or_default();
            if !lots.contains(&lot.cursor) {
                lots.push(lot.cursor);
            }
            assert_eq!(lots.len(), 1, "sample {} is in two lots", sample.id);
        }
    }

    fn take(&mut self, lot: &Lot) {
        for sample in &lot.samples {
            let times = self.now.times.entry(sample.id.to_string()).or_default();
            *times += 1;
            assert_eq!(*times, 1, "sample {} was delivered twice", sample.id);
        }
        let mut prompts: Vec<_> = lot.samples.iter().map(|s| s.prompt).collect();
        prompts.dedup();
        self.now.prompts.extend(prompts);
        self.now.cursor = lot.cursor;
        let whole: Vec<_> = (0..self.now.cursor.next_prompt).collect();
        assert_eq!(self.now.prompts, whole, "a prompt was left out or came twice");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 3_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(17),
        ..ProptestConfig::default()
    })]

    #[test]
    fn each_sample_comes_once_and_fresh(
        steps in proptest::collection::vec(step(), 1..120),
    ) {
        let mut world = World::new();
        for step in steps {
            world.step(step);
        }
    }
}

#[test]
fn all_short_histories_hold() {
    let kinds = [
        Step::Pull { keeper: 0, lost: false },
        Step::Pull { keeper: 0, lost: true },
        Step::Pull { keeper: 1, lost: false },
        Step::Generate { keeper: 0, fail_every: 0 },
        Step::Generate { keeper: 1, fail_every: 0 },
        Step::Train,
        Step::Crash,
    ];
    let first = [
        Step::Pull { keeper: 0, lost: true },
        Step::Pull { keeper: 1, lost: true },
        Step::Generate { keeper: 0, fail_every: 0 },
        Step::Generate { keeper: 0, fail_every: 0 },
    ];
    for code in 0..kinds.len().pow(6) {
        let mut world = World::new();
        for step in first {
            world.step(step);
        }
        for i in 0..6 {
            world.step(kinds[code / kinds.len().pow(i) % kinds.len()]);
        }
    }
}

fn ready_keeper() -> World {
    let mut world = World::new();
    world.step(Step::Pull { keeper: 0, lost: false });
    for _ in 0..6 {
        world.step(Step::Generate { keeper: 0, fail_every: 0 });
    }
    world
}

fn lot_at(world: &mut World, keeper: usize) -> Lot {
    let pull = world.pull();
    match world.keepers[keeper].pull(&pull) {
        Pulled::Lot(lot) => lot,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_place_that_the_server_keeps_loses_a_lot_whose_answer_is_lost() {
    // The naive way: the server moves on once it has answered. The answer with
    // prompts 0 and 1 is lost, and the next one begins at 2.
    let mut place = 0;
    let mut serve = || {
        place += SPEC.groups as u64;
        place - SPEC.groups as u64
    };
    let lost = serve();
    assert_eq!((lost, serve()), (0, 2));
    // The chosen way: the trainer shows the same cursor and gets the same lot.
    let mut world = ready_keeper();
    let lost = lot_at(&mut world, 0);
    let again = lot_at(&mut world, 0);
    assert_eq!(lost, again);
}

#[test]
fn what_became_too_old_is_not_handed_over_again() {
    let mut world = ready_keeper();
    let lost = lot_at(&mut world, 0);
    let kept = world.keepers[0].done_samples();
    world.version += SPEC.staleness_bound + 1;
    let pull = world.pull();
    assert!(matches!(world.keepers[0].pull(&pull), Pulled::Wait { missing: 4 }));
    assert!(kept > 0);
    assert_eq!(world.keepers[0].counts().stale, kept + lost.samples.len() as u64);
    // Its replacement is under way at once.
    assert!(!world.keepers[0].start(100).is_empty());
}

#[test]
fn a_keeper_that_wakes_late_hands_out_nothing_that_counts_twice() {
    let mut world = ready_keeper();
    let old = lot_at(&mut world, 0);
    // The trainer gave the paused keeper up, and takes its lot from another.
    world.step(Step::Pull { keeper: 1, lost: false });
    world.step(Step::Generate { keeper: 1, fail_every: 0 });
    let taken = lot_at(&mut world, 1);
    world.take(&taken);
    // Back at the first: the lot that it handed out goes, and the next one
    // continues after the one that was taken.
    world.step(Step::Generate { keeper: 0, fail_every: 0 });
    let next = lot_at(&mut world, 0);
    assert!(old.samples.iter().all(|s| next.samples.iter().all(|n| n.id != s.id)));
    assert_eq!(next.samples[0].prompt, 2);
    assert_eq!(world.keepers[0].counts().wasted, 4);
}

#[test]
fn a_new_run_with_other_prompts_gets_samples_of_its_own() {
    let mut world = ready_keeper();
    let first_run = lot_at(&mut world, 0);
    // The trainer begins from nothing again, with its data in another order.
    let prompts: Vec<SmolStr> = (0..6).map(|p| format!("other {p}").into()).collect();
    let pull = Pull { cursor: Cursor::default(), version: 1, prompts };
    assert!(matches!(world.keepers[0].pull(&pull), Pulled::Wait { missing: 4 }));
    let starts = world.keepers[0].start(100);
    assert!(starts.len() >= first_run.samples.len());
    assert!(starts.iter().all(|start| start.text.starts_with("other")), "{starts:?}");
}

#[test]
fn what_is_handed_on_is_not_generated_again() {
    let mut world = ready_keeper();
    let lost = lot_at(&mut world, 0);
    let kept = world.keepers[0].done_samples();
    assert!(kept > 0);
    world.step(Step::HandOn { keeper: 0, lost: false });
    assert_eq!(world.keepers[0].done_samples(), 0);
    // The answer with the lot was lost; the successor has the lot, and the
    // samples that were generated ahead.
    assert_eq!(lot_at(&mut world, 1), lost);
    assert_eq!(world.keepers[1].done_samples(), kept);
    world.take(&lost);
    let next = lot_at(&mut world, 1);
    assert_eq!(next.samples[0].prompt, SPEC.groups as u64);
}

#[test]
fn two_trainers_of_a_customer_get_different_samples() {
    let mut one = Keeper::new(7, 0, SPEC);
    let mut two = Keeper::new(7, 1, SPEC);
    let prompts = vec!["a".into(), "b".into()];
    let pull = Pull { cursor: Cursor::default(), version: 1, prompts };
    one.pull(&pull);
    two.pull(&pull);
    let ids: Vec<_> = one.start(9).into_iter().chain(two.start(9)).map(|s| s.id).collect();
    let mut unique = ids.clone();
    unique.sort();
    unique.dedup();
    assert_eq!(unique.len(), ids.len());
}

#[rstest]
#[case::idle_only(100, 2, 4)]
#[case::half(50, 2, 2)]
#[case::a_quarter(25, 2, 1)]
#[case::staleness_only(0, 2, 0)]
#[case::no_staleness_allowed(100, 0, 0)]
#[case::a_loose_bound_goes_no_deeper(100, 9, 4)]
fn the_contract_says_how_far_to_generate_ahead(
    #[case] idle_weight_percent: u32,
    #[case] staleness_bound: u64,
    #[case] groups: usize,
) {
    let spec = LotSpec { groups: 4, idle_weight_percent, staleness_bound, ..SPEC };
    let mut keeper = Keeper::new(1, 0, spec);
    let prompts = (0..20).map(|p| format!("p{p}").into()).collect();
    keeper.pull(&Pull { cursor: Cursor::default(), version: 1, prompts });
    assert_eq!(keeper.groups_ahead(), groups);
}

#[rstest]
#[case("")]
#[case("c1")]
#[case("c1-0-0-0-0")]
#[case("c2-0-0-0-0")]
fn garbled_cursors_are_refused(#[case] text: &str) {
    assert!(text.parse::<Cursor>().is_err());
}

#[test]
fn a_cursor_survives_its_text() {
    let cursor = Cursor { lots: 3, next_prompt: 192, last_lot: 1 << 60 };
    assert_eq!(cursor.to_string().parse(), Ok(cursor));
}
