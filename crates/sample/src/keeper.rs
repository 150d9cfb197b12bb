//! What one process keeps for one trainer: samples that are finished or on
//! their way, and the lot that was handed out last.

use std::collections::BTreeMap;

use cassia_ids::BootId;
use cassia_ids::SampleId;
use cassia_ids::Version;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::Cursor;
use crate::Label;

/// One sample, whole and labelled.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
pub struct Sample {
    /// Never used for another sample, by any process.
    #[schemars(with = "String")]
    pub id: SampleId,
    /// Counts the trainer's prompts from the beginning of its run.
    pub prompt: u64,
    /// The text that the engines generated.
    pub text: String,
    /// The versions that produced it.
    pub label: Label,
    /// What the scoring service gave, if there is one.
    pub score: Option<f64>,
}

/// The samples of one step, and the trainer's place after it.
#[derive(Clone, Debug, PartialEq)]
pub struct Lot {
    /// Groups in the order of their prompts.
    pub samples: Vec<Sample>,
    /// The place after this lot.
    pub cursor: Cursor,
}

/// What the contract asks of a trainer's lots.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LotSpec {
    /// Prompts in a lot.
    pub groups: usize,
    /// Samples of each prompt.
    pub group_size: usize,
    /// Most versions that a sample's oldest span may be behind the trainer.
    pub staleness_bound: u64,
    /// Weight of idle time against staleness, in percent.
    pub idle_weight_percent: u32,
}

/// A trainer's request for its next lot.
#[derive(Clone, Debug, PartialEq)]
pub struct Pull {
    /// The place in the trainer's checkpoint.
    pub cursor: Cursor,
    /// The version that the trainer is at.
    pub version: Version,
    /// The prompts from the cursor on; those past the lot may be started early.
    pub prompts: Vec<SmolStr>,
}

/// What one process hands on to another before a planned stop.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Kept {
    /// Finished samples that are part of no lot yet.
    groups: Vec<KeptGroup>,
    /// The lot that was handed out last, if its receipt isn't confirmed.
    handed: Option<KeptLot>,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct KeptGroup {
    prompt: u64,
    text: SmolStr,
    samples: Vec<Sample>,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct KeptLot {
    from: String,
    texts: Vec<SmolStr>,
    samples: Vec<Sample>,
    cursor: String,
}

/// What a pull leads to.
#[derive(Clone, Debug, PartialEq)]
pub enum Pulled {
    /// The lot is whole and fresh.
    Lot(Lot),
    /// Samples are missing: pull again when more have finished.
    Wait {
        /// Samples of the lot that are still missing.
        missing: usize,
    },
    /// The pull has fewer prompts than a lot needs.
    FewPrompts {
        /// How many it needs.
        needed: usize,
    },
}

/// A sample to generate.
#[derive(Clone, Debug, PartialEq)]
pub struct Start {
    /// The sample's id; report its end under it.
    pub id: SampleId,
    /// The prompt's number.
    pub prompt: u64,
    /// The prompt.
    pub text: SmolStr,
}

/// What became of the samples, counted since the keeper began.
#[derive(Clone, Copy, Debug, Default, Eq, JsonSchema, PartialEq, Serialize)]
pub struct Counts {
    /// Samples in lots that were handed out for the first time.
    pub handed: u64,
    /// Samples dropped since they had become too old.
    pub stale: u64,
    /// Samples dropped since the trainer went another way.
    pub wasted: u64,
    /// Ends of samples that nobody waits for.
    pub unexpected: u64,
}

/// The state of one trainer's samples at one process.
#[derive(Debug)]
pub struct Keeper {
    boot: BootId,
    /// Tells the keepers of one run apart.
    number: u64,
    next_id: u64,
    spec: LotSpec,
    /// The trainer's place, as of its last pull.
    cursor: Cursor,
    version: Version,
    prompts: BTreeMap<u64, SmolStr>,
    groups: BTreeMap<u64, Group>,
    handed: Option<Handed>,
    counts: Counts,
}

/// The samples of one prompt.
#[derive(Debug, Default)]
struct Group {
    /// The prompt that they were started for.
    text: SmolStr,
    slots: Vec<Slot>,
}

#[derive(Debug)]
enum Slot {
    Running(SampleId),
    Done(Sample),
}

/// A lot whose receipt the trainer has not confirmed yet.
#[derive(Debug)]
struct Handed {
    from: Cursor,
    /// The prompts that it was generated for.
    texts: Vec<SmolStr>,
    lot: Lot,
}

impl Keeper {
    /// Sets up an empty keeper for one run of a process.
    ///
    /// `number` must differ between all keepers of the run, also those that
    /// are gone, since samples are named after it.
    #[must_use]
    pub fn new(boot: BootId, number: u64, spec: LotSpec) -> Self {
        Self {
            boot,
            number,
            next_id: 1,
            spec,
            cursor: Cursor::default(),
            version: 0,
            prompts: BTreeMap::new(),
            groups: BTreeMap::new(),
            handed: None,
            counts: Counts::default(),
        }
    }

    /// Takes over what an amended contract asks.
    pub fn respec(&mut self, spec: LotSpec) {
        if self.spec.group_size != spec.group_size {
            self.counts.wasted += self.done_samples();
            self.groups.clear();
        }
        self.spec = spec;
    }

    /// Gives the counts.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Counts the finished samples that wait for their lot.
    #[must_use]
    pub fn done_samples(&self) -> u64 {
        self.groups.values().map(Group::done).sum()
    }

    /// Counts the samples on their way.
    #[must_use]
    pub fn running_samples(&self) -> usize {
        let slots = self.groups.values().flat_map(|group| &group.slots);
        slots.filter(|s| matches!(s, Slot::Running(_))).count()
    }

    /// Answers a trainer's pull.
    ///
    /// The same lot is handed out again as long as the trainer shows the same
    /// cursor, and is never part of a later lot, whether or not the first
    /// answer arrived.
    pub fn pull(&mut self, pull: &Pull) -> Pulled {
        if pull.prompts.len() < self.spec.groups {
            return Pulled::FewPrompts { needed: self.spec.groups };
        }
        self.adopt(pull);
        self.drop_stale();
        if let Some(handed) = &self.handed {
            return Pulled::Lot(handed.lot.clone());
        }
        let missing = self.missing();
        if missing > 0 {
            return Pulled::Wait { missing };
        }
        Pulled::Lot(self.hand_out())
    }

    /// Names samples to start, at most `room`, the nearest prompts first.
    pub fn start(&mut self, room: usize) -> Vec<Start> {
        let mut starts = Vec::new();
        let from = self.first_open_prompt();
        let window = self.spec.groups + self.groups_ahead();
        let open: Vec<_> = self.prompts.range(from..).take(window).collect();
        for (&prompt, text) in open {
            let group = self.groups.entry(prompt).or_default();
            group.text.clone_from(text);
            let slots = &mut group.slots;
            while slots.len() < self.spec.group_size && starts.len() < room {
                let id = format_smolstr!("{:x}-{:x}-{:x}", self.boot, self.number, self.next_id);
                self.next_id += 1;
                slots.push(Slot::Running(id.clone()));
                starts.push(Start { id, prompt, text: text.clone() });
            }
        }
        starts
    }

    /// Takes a finished sample in.
    pub fn finished(&mut self, sample: Sample) {
        let group = self.groups.get_mut(&sample.prompt);
        let slot = group.and_then(|group| group.slots.iter_mut().find(|s| s.runs(&sample.id)));
        match slot {
            Some(slot) => *slot = Slot::Done(sample),
            None => self.counts.unexpected += 1,
        }
    }

    /// Takes in that a sample came to nothing; its place is free again.
    pub fn failed(&mut self, prompt: u64, id: &str) {
        match self.groups.get_mut(&prompt) {
            Some(group) => group.slots.retain(|slot| !slot.runs(id)),
            None => self.counts.unexpected += 1,
        }
    }

    /// Says whether a running sample is still wanted.
    #[must_use]
    pub fn wants(&self, prompt: u64, id: &str) -> bool {
        self.groups.get(&prompt).is_some_and(|group| group.slots.iter().any(|s| s.runs(id)))
    }

    /// Gives away all that is finished. Nothing of it is handed out here any
    /// more, whether or not it arrives.
    pub fn give_away(&mut self) -> Kept {
        let groups = std::mem::take(&mut self.groups);
        let kept = |(prompt, group): (u64, Group)| KeptGroup {
            prompt,
            text: group.text,
            samples: group.slots.into_iter().filter_map(Slot::done).collect(),
        };
        let handed = self.handed.take().map(|handed| KeptLot {
            from: handed.from.to_string(),
            texts: handed.texts,
            samples: handed.lot.samples,
            cursor: handed.lot.cursor.to_string(),
        });
        Kept { groups: groups.into_iter().map(kept).collect(), handed }
    }

    /// Takes over what another process gave away, as far as it is of use.
    pub fn take_over(&mut self, kept: Kept) {
        if let Some(lot) = kept.handed
            && self.handed.is_none()
            && let (Ok(from), Ok(cursor)) = (lot.from.parse(), lot.cursor.parse())
            && (self.cursor == Cursor::default() || self.cursor == from)
        {
            // The trainer may have this lot or not; its next pull tells.
            self.cursor = from;
            let lot_texts = lot.texts;
            let lot = Lot { samples: lot.samples, cursor };
            self.handed = Some(Handed { from, texts: lot_texts, lot });
        }
        let first = self.first_open_prompt();
        for kept in kept.groups.into_iter().filter(|kept| kept.prompt >= first) {
            let group = self.groups.entry(kept.prompt).or_default();
            if group.slots.is_empty() {
                group.text = kept.text;
            } else if group.text != kept.text {
                continue;
            }
            group.take_over(kept.samples, self.spec.group_size);
        }
    }

    /// How many groups past the next lot are generated ahead.
    ///
    /// A sample made a lot ahead is about a version older when it is handed
    /// over. So a contract that weighs idle time more goes deeper, by parts of
    /// a lot, up to one lot: a second one saves no more idle time and ages.
    #[must_use]
    pub fn groups_ahead(&self) -> usize {
        if self.spec.staleness_bound == 0 {
            return 0;
        }
        let weight = usize::try_from(self.spec.idle_weight_percent).unwrap_or(100);
        let shown = self.prompts.len().saturating_sub(self.spec.groups);
        (self.spec.groups.saturating_mul(weight) / 100).min(shown)
    }

    /// Takes the trainer's place and version over from its pull.
    fn adopt(&mut self, pull: &Pull) {
        let same_lot =
            |handed: &Handed| handed.from == pull.cursor && pull.prompts.starts_with(&handed.texts);
        if self.handed.as_ref().is_some_and(|handed| !same_lot(handed)) {
            self.settle_handed(&pull.cursor);
        }
        self.cursor = pull.cursor;
        self.version = pull.version;
        let first = pull.cursor.next_prompt;
        self.prompts = (first..).zip(pull.prompts.iter().cloned()).collect();
        // A trainer that begins anew, or goes back and shuffles its data, may
        // show other prompts under the same numbers.
        let prompts = &self.prompts;
        let mut wasted = 0;
        self.groups.retain(|prompt, group| {
            let same = prompts.get(prompt).is_none_or(|text| *text == group.text);
            let kept = *prompt >= first && same;
            wasted += if kept { 0 } else { group.done() };
            kept
        });
        self.counts.wasted += wasted;
    }

    /// The trainer moved off the place that the lot was handed out for. Its
    /// samples may have arrived, now or in an answer still under way, so they
    /// are gone whether or not the trainer counted them.
    fn settle_handed(&mut self, cursor: &Cursor) {
        let Some(handed) = self.handed.take() else {
            return;
        };
        if *cursor != handed.lot.cursor {
            self.counts.wasted += handed.lot.samples.len() as u64;
        }
    }

    fn is_stale(&self, sample: &Sample) -> bool {
        sample.label.staleness(self.version) > self.spec.staleness_bound
    }

    /// Drops what is too old at this moment, also from a lot that was handed
    /// out before: handing it out again is a handing over like the first.
    fn drop_stale(&mut self) {
        let handed_stale =
            self.handed.as_ref().is_some_and(|h| h.lot.samples.iter().any(|s| self.is_stale(s)));
        if handed_stale {
            let samples = self.handed.take().map_or(0, |handed| handed.lot.samples.len());
            self.counts.stale += samples as u64;
        }
        let (version, bound) = (self.version, self.spec.staleness_bound);
        let mut dropped = 0;
        for group in self.groups.values_mut() {
            group.slots.retain(|slot| {
                let stale = matches!(slot, Slot::Done(s) if s.label.staleness(version) > bound);
                dropped += u64::from(stale);
                !stale
            });
        }
        self.counts.stale += dropped;
    }

    /// Prompts of a lot that is handed out are not generated again unless the
    /// lot is dropped.
    fn first_open_prompt(&self) -> u64 {
        self.handed.as_ref().map_or(self.cursor.next_prompt, |h| h.lot.cursor.next_prompt)
    }

    fn missing(&self) -> usize {
        let first = self.cursor.next_prompt;
        let done = |prompt| {
            let done = self.groups.get(&prompt).map_or(0, Group::done);
            usize::try_from(done).unwrap_or(usize::MAX)
        };
        (first..).take(self.spec.groups).map(|p| self.spec.group_size - done(p)).sum()
    }

    fn hand_out(&mut self) -> Lot {
        let first = self.cursor.next_prompt;
        let end = first + self.spec.groups as u64;
        let rest = self.groups.split_off(&end);
        let whole = std::mem::replace(&mut self.groups, rest);
        let texts = whole.values().map(|group| group.text.clone()).collect();
        let slots = whole.into_values().flat_map(|group| group.slots);
        let samples: Vec<_> = slots.filter_map(Slot::done).collect();
        self.counts.handed += samples.len() as u64;
        let mixed = self.boot.wrapping_add(self.number.rotate_left(40));
        let number = mixed.wrapping_add(self.next_id).max(1);
        self.next_id += 1;
        let cursor = Cursor { lots: self.cursor.lots + 1, next_prompt: end, last_lot: number };
        let lot = Lot { samples, cursor };
        self.handed = Some(Handed { from: self.cursor, texts, lot: lot.clone() });
        lot
    }
}

impl Group {
    /// Finished samples take free places first, then those of samples that are
    /// on their way here, whose ends then find nobody waiting.
    fn take_over(&mut self, samples: Vec<Sample>, group_size: usize) {
        for sample in samples {
            if self.slots.len() < group_size {
                self.slots.push(Slot::Done(sample));
            } else if let Some(slot) =
                self.slots.iter_mut().find(|slot| matches!(slot, Slot::Running(_)))
            {
                *slot = Slot::Done(sample);
            }
        }
    }

    fn done(&self) -> u64 {
        self.slots.iter().filter(|s| matches!(s, Slot::Done(_))).count() as u64
    }
}

impl Slot {
    fn runs(&self, id: &str) -> bool {
        matches!(self, Self::Running(running) if running == id)
    }

    fn done(self) -> Option<Sample> {
        match self {
            Self::Done(sample) => Some(sample),
            Self::Running(_) => None,
        }
    }
}
