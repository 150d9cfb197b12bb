//! The samples that one process holds for one trainer: those that are running
//! or finished, and the lot that was delivered last.

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

/// A complete, labelled sample.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
pub struct Sample {
    /// Unique id, across all processes.
    #[schemars(with = "String")]
    pub id: SampleId,
    /// Index of the prompt, counted from the start of the trainer's run.
    pub prompt: u64,
    /// The generated text.
    pub text: String,
    /// The weight versions that produced it.
    pub label: Label,
    /// Score given by the scoring service, if there is one.
    pub score: Option<f64>,
}

/// The samples of one training step.
#[derive(Clone, Debug, PartialEq)]
pub struct Lot {
    /// The samples, ordered by prompt.
    pub samples: Vec<Sample>,
    /// The trainer's position after this lot.
    pub cursor: Cursor,
}

/// Requirements of the contract on a trainer's lots.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LotSpec {
    /// Number of groups in a lot; a group holds the samples of one prompt.
    pub groups: usize,
    /// Number of samples in a group.
    pub group_size: usize,
    /// Limit on how many versions a sample's oldest one may be behind the
    /// trainer's.
    pub staleness_bound: u64,
    /// Weight of idle time against staleness, in percent.
    pub idle_weight_percent: u32,
}

/// A trainer's request for its next lot.
#[derive(Clone, Debug, PartialEq)]
pub struct Pull {
    /// The cursor in the trainer's checkpoint.
    pub cursor: Cursor,
    /// The trainer's weight version.
    pub version: Version,
    /// The prompts from the cursor on; those past the lot may be generated
    /// ahead.
    pub prompts: Vec<SmolStr>,
}

/// Finished samples that a process transfers to another before a planned stop.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Handoff {
    /// Finished samples that are not part of a lot yet.
    groups: Vec<HandoffGroup>,
    /// The lot that was delivered last, if its receipt isn't confirmed.
    #[serde(rename = "handed")]
    unconfirmed_lot: Option<HandoffLot>,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct HandoffGroup {
    prompt: u64,
    #[serde(rename = "text")]
    prompt_text: SmolStr,
    samples: Vec<Sample>,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct HandoffLot {
    /// The cursor that the lot was requested with.
    from: String,
    #[serde(rename = "texts")]
    prompt_texts: Vec<SmolStr>,
    samples: Vec<Sample>,
    /// The cursor after the lot.
    cursor: String,
}

/// Outcome of a pull.
#[derive(Clone, Debug, PartialEq)]
pub enum PullOutcome {
    /// The lot is complete and within the staleness bound.
    Lot(Lot),
    /// Samples are missing: the pull can be repeated when more have finished.
    Wait {
        /// Number of samples still missing from the lot.
        missing: usize,
    },
    /// The pull has fewer prompts than a lot needs.
    TooFewPrompts {
        /// Number of prompts that a lot needs.
        needed: usize,
    },
}

/// A sample to generate.
#[derive(Clone, Debug, PartialEq)]
pub struct SampleTask {
    /// Id of the sample, under which its outcome is reported.
    pub id: SampleId,
    /// Index of the prompt.
    pub prompt: u64,
    /// Text of the prompt.
    pub prompt_text: SmolStr,
}

/// Outcomes of samples, counted since the buffer was created.
#[derive(Clone, Copy, Debug, Default, Eq, JsonSchema, PartialEq, Serialize)]
pub struct Counts {
    /// Samples delivered in lots; a repeated delivery is not counted.
    #[serde(rename = "handed")]
    pub delivered: u64,
    /// Samples dropped because they exceeded the staleness bound.
    pub stale: u64,
    /// Samples dropped because the trainer's cursor or prompts made them
    /// useless.
    pub wasted: u64,
    /// Outcomes reported for samples that were no longer expected.
    pub unexpected: u64,
}

/// The samples that one process holds for one trainer.
#[derive(Debug)]
pub struct SampleBuffer {
    boot: BootId,
    /// Distinguishes the buffers of one process run.
    buffer_id: u64,
    next_id: u64,
    spec: LotSpec,
    /// The trainer's cursor in its last pull.
    cursor: Cursor,
    version: Version,
    prompts: BTreeMap<u64, SmolStr>,
    groups: BTreeMap<u64, Group>,
    unconfirmed_lot: Option<UnconfirmedLot>,
    counts: Counts,
}

/// The samples of one prompt.
#[derive(Debug, Default)]
struct Group {
    /// Text of the prompt that the samples were started for.
    prompt_text: SmolStr,
    samples: Vec<SampleState>,
}

#[derive(Debug)]
enum SampleState {
    Running(SampleId),
    Finished(Sample),
}

/// A delivered lot whose receipt the trainer has not confirmed yet.
#[derive(Debug)]
struct UnconfirmedLot {
    /// The cursor that the lot was requested with.
    from: Cursor,
    /// The prompts that it was generated for.
    prompt_texts: Vec<SmolStr>,
    lot: Lot,
}

impl SampleBuffer {
    /// Creates an empty buffer for one run of a process.
    ///
    /// `buffer_id` is part of the sample ids, so it must differ from that of
    /// every other buffer of the run, including dropped ones.
    #[must_use]
    pub fn new(boot: BootId, buffer_id: u64, spec: LotSpec) -> Self {
        Self {
            boot,
            buffer_id,
            next_id: 1,
            spec,
            cursor: Cursor::default(),
            version: 0,
            prompts: BTreeMap::new(),
            groups: BTreeMap::new(),
            unconfirmed_lot: None,
            counts: Counts::default(),
        }
    }

    /// Applies the requirements of an amended contract.
    pub fn set_spec(&mut self, spec: LotSpec) {
        if self.spec.group_size != spec.group_size {
            self.counts.wasted += self.finished_samples();
            self.groups.clear();
        }
        self.spec = spec;
    }

    /// Returns the counts.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns the number of finished samples that are not part of a lot yet.
    #[must_use]
    pub fn finished_samples(&self) -> u64 {
        self.groups.values().map(Group::finished_count).sum()
    }

    /// Returns the number of running samples.
    #[must_use]
    pub fn running_samples(&self) -> usize {
        let samples = self.groups.values().flat_map(|group| &group.samples);
        samples.filter(|s| matches!(s, SampleState::Running(_))).count()
    }

    /// Processes a trainer's pull.
    ///
    /// The same lot is delivered again as long as the trainer sends the same
    /// cursor. Its samples never become part of a later lot, whether or not
    /// the first response arrived.
    pub fn pull(&mut self, pull: &Pull) -> PullOutcome {
        if pull.prompts.len() < self.spec.groups {
            return PullOutcome::TooFewPrompts { needed: self.spec.groups };
        }
        self.apply_pull(pull);
        self.drop_stale();
        if let Some(unconfirmed) = &self.unconfirmed_lot {
            return PullOutcome::Lot(unconfirmed.lot.clone());
        }
        let missing = self.missing_samples();
        if missing > 0 {
            return PullOutcome::Wait { missing };
        }
        PullOutcome::Lot(self.build_lot())
    }

    /// Returns up to `max` samples to start, those of the earliest prompts
    /// first, and marks them as running.
    pub fn next_tasks(&mut self, max: usize) -> Vec<SampleTask> {
        let mut tasks = Vec::new();
        let from = self.first_open_prompt();
        let window = self.spec.groups + self.groups_ahead();
        let open: Vec<_> = self.prompts.range(from..).take(window).collect();
        for (&prompt, prompt_text) in open {
            let group = self.groups.entry(prompt).or_default();
            group.prompt_text.clone_from(prompt_text);
            let samples = &mut group.samples;
            while samples.len() < self.spec.group_size && tasks.len() < max {
                let id = format_smolstr!("{:x}-{:x}-{:x}", self.boot, self.buffer_id, self.next_id);
                self.next_id += 1;
                samples.push(SampleState::Running(id.clone()));
                tasks.push(SampleTask { id, prompt, prompt_text: prompt_text.clone() });
            }
        }
        tasks
    }

    /// Stores a finished sample.
    pub fn finish(&mut self, sample: Sample) {
        let group = self.groups.get_mut(&sample.prompt);
        let running =
            group.and_then(|group| group.samples.iter_mut().find(|s| s.is_running(&sample.id)));
        match running {
            Some(running) => *running = SampleState::Finished(sample),
            None => self.counts.unexpected += 1,
        }
    }

    /// Records that a running sample failed; another may be started in its
    /// place.
    pub fn fail(&mut self, prompt: u64, id: &str) {
        match self.groups.get_mut(&prompt) {
            Some(group) => group.samples.retain(|s| !s.is_running(id)),
            None => self.counts.unexpected += 1,
        }
    }

    /// Returns whether the outcome of a running sample is still expected.
    #[must_use]
    pub fn expects(&self, prompt: u64, id: &str) -> bool {
        self.groups.get(&prompt).is_some_and(|group| group.samples.iter().any(|s| s.is_running(id)))
    }

    /// Removes all samples and returns the finished ones. They are no longer
    /// delivered here, whether or not the handoff arrives.
    pub fn drain(&mut self) -> Handoff {
        let groups = std::mem::take(&mut self.groups);
        let to_handoff = |(prompt, group): (u64, Group)| HandoffGroup {
            prompt,
            prompt_text: group.prompt_text,
            samples: group.samples.into_iter().filter_map(SampleState::into_sample).collect(),
        };
        let unconfirmed_lot = self.unconfirmed_lot.take().map(|unconfirmed| HandoffLot {
            from: unconfirmed.from.to_string(),
            prompt_texts: unconfirmed.prompt_texts,
            samples: unconfirmed.lot.samples,
            cursor: unconfirmed.lot.cursor.to_string(),
        });
        Handoff { groups: groups.into_iter().map(to_handoff).collect(), unconfirmed_lot }
    }

    /// Adds the samples that another process handed off, as far as they are
    /// still useful.
    pub fn import(&mut self, handoff: Handoff) {
        if let Some(lot) = handoff.unconfirmed_lot
            && self.unconfirmed_lot.is_none()
            && let (Ok(from), Ok(cursor)) = (lot.from.parse(), lot.cursor.parse())
            && (self.cursor == Cursor::default() || self.cursor == from)
        {
            // The trainer's next pull shows whether it received this lot.
            self.cursor = from;
            let prompt_texts = lot.prompt_texts;
            let lot = Lot { samples: lot.samples, cursor };
            self.unconfirmed_lot = Some(UnconfirmedLot { from, prompt_texts, lot });
        }
        let first = self.first_open_prompt();
        for handed_off in handoff.groups.into_iter().filter(|group| group.prompt >= first) {
            let group = self.groups.entry(handed_off.prompt).or_default();
            if group.samples.is_empty() {
                group.prompt_text = handed_off.prompt_text;
            } else if group.prompt_text != handed_off.prompt_text {
                continue;
            }
            group.import(handed_off.samples, self.spec.group_size);
        }
    }

    /// Returns how many groups past the next lot are generated ahead.
    ///
    /// A sample generated one lot ahead is about one version older when it is
    /// delivered. So the number of groups grows with the contract's weight of
    /// idle time, up to one lot: a second lot ahead would save no more idle
    /// time and only add staleness.
    #[must_use]
    pub fn groups_ahead(&self) -> usize {
        if self.spec.staleness_bound == 0 {
            return 0;
        }
        let weight = usize::try_from(self.spec.idle_weight_percent).unwrap_or(100);
        let known = self.prompts.len().saturating_sub(self.spec.groups);
        (self.spec.groups.saturating_mul(weight) / 100).min(known)
    }

    /// Updates the trainer's cursor, version and prompts from its pull.
    fn apply_pull(&mut self, pull: &Pull) {
        let same_lot = |unconfirmed: &UnconfirmedLot| {
            unconfirmed.from == pull.cursor && pull.prompts.starts_with(&unconfirmed.prompt_texts)
        };
        if self.unconfirmed_lot.as_ref().is_some_and(|lot| !same_lot(lot)) {
            self.discard_unconfirmed_lot(&pull.cursor);
        }
        self.cursor = pull.cursor;
        self.version = pull.version;
        let first = pull.cursor.next_prompt;
        self.prompts = (first..).zip(pull.prompts.iter().cloned()).collect();
        // A trainer that starts over, or goes back and shuffles its data, may
        // send other prompts under the same indices.
        let prompts = &self.prompts;
        let mut wasted = 0;
        self.groups.retain(|prompt, group| {
            let same = prompts.get(prompt).is_none_or(|text| *text == group.prompt_text);
            let keep = *prompt >= first && same;
            wasted += if keep { 0 } else { group.finished_count() };
            keep
        });
        self.counts.wasted += wasted;
    }

    /// Discards the unconfirmed lot when the trainer no longer requests it.
    /// The trainer may have received it, or may still receive it in a delayed
    /// response, so its samples must not be delivered in another lot.
    fn discard_unconfirmed_lot(&mut self, cursor: &Cursor) {
        let Some(unconfirmed) = self.unconfirmed_lot.take() else {
            return;
        };
        if *cursor != unconfirmed.lot.cursor {
            self.counts.wasted += unconfirmed.lot.samples.len() as u64;
        }
    }

    fn is_stale(&self, sample: &Sample) -> bool {
        sample.label.staleness(self.version) > self.spec.staleness_bound
    }

    /// Drops samples that exceed the staleness bound now. An unconfirmed lot
    /// with such a sample is dropped too, since the bound also holds when a
    /// lot is delivered again.
    fn drop_stale(&mut self) {
        let lot_stale = self
            .unconfirmed_lot
            .as_ref()
            .is_some_and(|u| u.lot.samples.iter().any(|s| self.is_stale(s)));
        if lot_stale {
            let samples = self.unconfirmed_lot.take().map_or(0, |u| u.lot.samples.len());
            self.counts.stale += samples as u64;
        }
        let (version, bound) = (self.version, self.spec.staleness_bound);
        let mut dropped = 0;
        for group in self.groups.values_mut() {
            group.samples.retain(|sample| {
                let stale = matches!(sample, SampleState::Finished(s)
                    if s.label.staleness(version) > bound);
                dropped += u64::from(stale);
                !stale
            });
        }
        self.counts.stale += dropped;
    }

    /// Returns the first prompt that is not part of the unconfirmed lot: the
    /// prompts of that lot are not generated again unless it is dropped.
    fn first_open_prompt(&self) -> u64 {
        self.unconfirmed_lot.as_ref().map_or(self.cursor.next_prompt, |u| u.lot.cursor.next_prompt)
    }

    fn missing_samples(&self) -> usize {
        let first = self.cursor.next_prompt;
        let finished = |prompt| {
            let count = self.groups.get(&prompt).map_or(0, Group::finished_count);
            usize::try_from(count).unwrap_or(usize::MAX)
        };
        (first..).take(self.spec.groups).map(|p| self.spec.group_size - finished(p)).sum()
    }

    fn build_lot(&mut self) -> Lot {
        let first = self.cursor.next_prompt;
        let end = first + self.spec.groups as u64;
        let rest = self.groups.split_off(&end);
        let groups = std::mem::replace(&mut self.groups, rest);
        let prompt_texts = groups.values().map(|group| group.prompt_text.clone()).collect();
        let samples = groups.into_values().flat_map(|group| group.samples);
        let samples: Vec<_> = samples.filter_map(SampleState::into_sample).collect();
        self.counts.delivered += samples.len() as u64;
        let base = self.boot.wrapping_add(self.buffer_id.rotate_left(40));
        // 0 stands for no lot in a cursor.
        let lot_id = base.wrapping_add(self.next_id).max(1);
        self.next_id += 1;
        let cursor = Cursor { lots: self.cursor.lots + 1, next_prompt: end, last_lot: lot_id };
        let lot = Lot { samples, cursor };
        self.unconfirmed_lot =
            Some(UnconfirmedLot { from: self.cursor, prompt_texts, lot: lot.clone() });
        lot
    }
}

impl Group {
    /// Adds finished samples until the group is full, then replaces running
    /// ones, whose outcomes are then no longer expected.
    fn import(&mut self, finished: Vec<Sample>, group_size: usize) {
        for sample in finished {
            if self.samples.len() < group_size {
                self.samples.push(SampleState::Finished(sample));
            } else if let Some(running) =
                self.samples.iter_mut().find(|s| matches!(s, SampleState::Running(_)))
            {
                *running = SampleState::Finished(sample);
            }
        }
    }

    fn finished_count(&self) -> u64 {
        self.samples.iter().filter(|s| matches!(s, SampleState::Finished(_))).count() as u64
    }
}

impl SampleState {
    fn is_running(&self, id: &str) -> bool {
        matches!(self, Self::Running(running) if running == id)
    }

    fn into_sample(self) -> Option<Sample> {
        match self {
            Self::Finished(sample) => Some(sample),
            Self::Running(_) => None,
        }
    }
}
