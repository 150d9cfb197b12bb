//! Encoding of batch jobs as log records.

use bytes::Bytes;
use prost::Message;

/// A header of an item's request.
#[derive(Clone, Eq, Message, PartialEq)]
pub struct Header {
    /// Name of the header.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Value of the header.
    #[prost(string, tag = "2")]
    pub value: String,
}

/// The request that scores an item's generated text.
#[derive(Clone, Eq, Message, PartialEq)]
pub struct Reward {
    /// Id of the request.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Host name of its route.
    #[prost(string, tag = "2")]
    pub host: String,
    /// Path of the request.
    #[prost(string, tag = "3")]
    pub path: String,
    /// Body of the request.
    #[prost(bytes = "bytes", tag = "4")]
    pub body: Bytes,
}

/// One item of a batch job.
#[derive(Clone, Eq, Message, PartialEq)]
pub struct Item {
    /// Id of the item.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Path of its request.
    #[prost(string, tag = "2")]
    pub path: String,
    /// Headers of its request.
    #[prost(message, repeated, tag = "3")]
    pub headers: Vec<Header>,
    /// Body of its request.
    #[prost(bytes = "bytes", tag = "4")]
    pub body: Bytes,
    /// Group of the item; empty for none.
    #[prost(string, tag = "5")]
    pub group: String,
    /// Request that scores the generated text.
    #[prost(message, optional, tag = "6")]
    pub reward: Option<Reward>,
    /// Prompt tokens plus the limit on output tokens.
    #[prost(uint64, tag = "7")]
    pub tokens: u64,
    /// Expected number of output tokens; 0 if unknown.
    #[prost(uint64, tag = "8")]
    pub expected_output: u64,
}

/// A batch job as submitted.
#[derive(Clone, Eq, Message, PartialEq)]
pub struct Submission {
    /// Id of the job.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Host name of its route.
    #[prost(string, tag = "2")]
    pub host: String,
    /// Path of the submitting request.
    #[prost(string, tag = "3")]
    pub path: String,
    /// When the job was accepted, in Unix milliseconds.
    #[prost(uint64, tag = "4")]
    pub accepted_ms: u64,
    /// Model that generates the items; empty for any.
    #[prost(string, tag = "5")]
    pub model: String,
    /// Oldest weight version that may generate the items' tokens.
    #[prost(uint64, tag = "6")]
    pub min_version: u64,
    /// The trainer's step.
    #[prost(uint64, tag = "7")]
    pub step: u64,
    /// Number of complete groups that the trainer waits for; 0 for all.
    #[prost(uint64, tag = "8")]
    pub groups_wanted: u64,
    /// The job's items.
    #[prost(message, repeated, tag = "9")]
    pub items: Vec<Item>,
    /// Customer that owns the job; empty if the configuration has no accounts, or
    /// an earlier release accepted it.
    #[prost(string, tag = "10")]
    pub customer: String,
}

/// Final result of an item.
#[derive(Clone, Eq, Message, PartialEq)]
pub struct ItemResult {
    /// Id of the job.
    #[prost(string, tag = "1")]
    pub job: String,
    /// Index of the item in the job, from 0.
    #[prost(uint32, tag = "2")]
    pub index: u32,
    /// Id of the item.
    #[prost(string, tag = "3")]
    pub item: String,
    /// Whether the text is complete; otherwise the item was given up.
    #[prost(bool, tag = "4")]
    pub completed: bool,
    /// Data of all events, separated by line feeds.
    #[prost(string, tag = "5")]
    pub text: String,
    /// Weight versions that generated the events.
    #[prost(uint64, repeated, tag = "6")]
    pub versions: Vec<u64>,
    /// Signature of the reward call's response; empty for none.
    #[prost(string, tag = "7")]
    pub score: String,
}

/// The start of an item's text, from which another process goes on if the one
/// that runs the item ends.
#[derive(Clone, Eq, Message, PartialEq)]
pub struct ItemProgress {
    /// Id of the job.
    #[prost(string, tag = "1")]
    pub job: String,
    /// Index of the item in the job, from 0.
    #[prost(uint32, tag = "2")]
    pub index: u32,
    /// Id of the last event of the text.
    #[prost(uint64, tag = "3")]
    pub last_event_id: u64,
    /// Data of the events so far, separated by line feeds.
    #[prost(string, tag = "4")]
    pub text: String,
    /// Weight versions that generated them.
    #[prost(uint64, repeated, tag = "5")]
    pub versions: Vec<u64>,
    /// Version of the engines' software that generated the text; empty if an
    /// earlier release stored it, which did not know.
    #[prost(string, tag = "6")]
    pub software: String,
}

/// A part of a submission; a submission that is too large for one record has
/// several.
#[derive(Clone, Eq, Message, PartialEq)]
struct SubmissionPart {
    #[prost(string, tag = "1")]
    job: String,
    /// Index of this part, from 0. All parts are appended in one call.
    #[prost(uint32, tag = "2")]
    part: u32,
    #[prost(uint32, tag = "3")]
    part_count: u32,
    /// Number of items in the whole job.
    #[prost(uint32, tag = "4")]
    item_count: u32,
    #[prost(bytes = "bytes", tag = "5")]
    data: Bytes,
    /// When the job was accepted, in Unix milliseconds.
    #[prost(uint64, tag = "6")]
    accepted_ms: u64,
    /// Customer that owns the job; empty for none.
    #[prost(string, tag = "7")]
    customer: String,
}

#[derive(Clone, Eq, Message, PartialEq)]
struct End {
    #[prost(string, tag = "1")]
    job: String,
}

#[derive(Clone, Eq, prost::Oneof, PartialEq)]
enum Body {
    #[prost(message, tag = "1")]
    Part(SubmissionPart),
    #[prost(message, tag = "2")]
    Result(ItemResult),
    #[prost(message, tag = "3")]
    End(End),
    #[prost(message, tag = "4")]
    Progress(ItemProgress),
}

#[derive(Clone, Eq, Message, PartialEq)]
struct Envelope {
    #[prost(oneof = "Body", tags = "1, 2, 3, 4")]
    body: Option<Body>,
}

/// A decoded record of the batch job topic.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum JobRecord {
    /// A part of a submitted job.
    Part {
        /// Id of the job.
        job: String,
        /// Index of this part, from 0.
        part: u32,
        /// Number of parts of the job.
        part_count: u32,
        /// Number of items in the whole job.
        item_count: u32,
        /// When the job was accepted, in Unix milliseconds.
        accepted_ms: u64,
        /// Customer that owns the job; empty for none.
        customer: String,
        /// Bytes of this part of the encoded submission.
        data: Bytes,
    },
    /// The result of an item.
    Result(ItemResult),
    /// The start of an item's text. Earlier releases don't know it and skip it.
    Progress(ItemProgress),
    /// The job is ended; items without a result are no longer run.
    End {
        /// Id of the job.
        job: String,
    },
    /// A record that this release can't decode.
    Unknown,
}

/// Upper bound on the encoded size of a part's fields other than its data,
/// its job id and its customer.
const PART_OVERHEAD_BYTES: usize = 256;

/// A submission is too large for one append to the log.
#[derive(Clone, Copy, Debug, Eq, thiserror::Error, PartialEq)]
#[error("job of {bytes} bytes exceeds the append limit of {max_bytes} bytes")]
pub struct JobTooLargeError {
    /// Size of the encoded job.
    pub bytes: usize,
    /// Limit on the size of the encoded job.
    pub max_bytes: usize,
}

impl Submission {
    /// Encodes the job as records of at most `max_record_bytes` each, to be
    /// appended by one call of at most `max_append_bytes`.
    ///
    /// # Errors
    ///
    /// The job is too large for one append.
    pub fn to_records(
        &self,
        max_record_bytes: usize,
        max_append_bytes: usize,
    ) -> Result<Vec<Bytes>, JobTooLargeError> {
        let data = Bytes::from(self.encode_to_vec());
        let chunk_len = max_record_bytes
            .saturating_sub(PART_OVERHEAD_BYTES + self.id.len() + self.customer.len())
            .max(1);
        let part_count = data.len().div_ceil(chunk_len).max(1);
        let max_bytes = max_append_bytes.saturating_sub(
            part_count * (PART_OVERHEAD_BYTES + self.id.len() + self.customer.len()),
        );
        if data.len() > max_bytes {
            return Err(JobTooLargeError { bytes: data.len(), max_bytes });
        }
        let to_u32 = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        let record = |part: usize| {
            let body = Body::Part(SubmissionPart {
                job: self.id.clone(),
                part: to_u32(part),
                part_count: to_u32(part_count),
                item_count: to_u32(self.items.len()),
                data: data.slice(part * chunk_len..data.len().min((part + 1) * chunk_len)),
                accepted_ms: self.accepted_ms,
                customer: self.customer.clone(),
            });
            Envelope { body: Some(body) }.encode_to_vec().into()
        };
        Ok((0..part_count).map(record).collect())
    }

    /// Decodes a job from the data of its parts, in order.
    ///
    /// # Errors
    ///
    /// The bytes do not decode as a submission.
    pub fn from_parts(parts: &[Bytes]) -> Result<Self, prost::DecodeError> {
        // Avoids a copy of the data in the usual case of one part.
        if let [data] = parts {
            return Self::decode(data.clone());
        }
        Self::decode(Bytes::from(parts.concat()))
    }
}

impl ItemResult {
    /// Encodes the record of this result.
    #[must_use]
    pub fn to_record(&self) -> Bytes {
        Envelope { body: Some(Body::Result(self.clone())) }.encode_to_vec().into()
    }
}

impl ItemProgress {
    /// Encodes the record of this progress.
    #[must_use]
    pub fn to_record(&self) -> Bytes {
        Envelope { body: Some(Body::Progress(self.clone())) }.encode_to_vec().into()
    }
}

impl JobRecord {
    /// Creates a record that ends a job.
    #[must_use]
    pub fn new_end(job: &str) -> Self {
        Self::End { job: job.to_owned() }
    }

    /// Encodes a record that ends a job.
    #[must_use]
    pub fn encode_end(job: &str) -> Bytes {
        Envelope { body: Some(Body::End(End { job: job.to_owned() })) }.encode_to_vec().into()
    }

    /// Decodes a record.
    #[must_use]
    pub fn decode(bytes: Bytes) -> Self {
        match Envelope::decode(bytes).map(|envelope| envelope.body) {
            Ok(Some(Body::Part(part))) => Self::Part {
                job: part.job,
                part: part.part,
                part_count: part.part_count,
                item_count: part.item_count,
                accepted_ms: part.accepted_ms,
                customer: part.customer,
                data: part.data,
            },
            Ok(Some(Body::Result(result))) => Self::Result(result),
            Ok(Some(Body::End(end))) => Self::End { job: end.job },
            Ok(Some(Body::Progress(progress))) => Self::Progress(progress),
            Ok(None) | Err(_) => Self::Unknown,
        }
    }
}
