//! Incremental parser of server-sent event streams.

use bytes::Bytes;
use bytes::BytesMut;
use cassia_ids::Version;

/// Limit on the size of one event.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Length of the longest separator of two events.
const MAX_SEPARATOR_BYTES: usize = 3;

/// One event of a stream.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Event {
    /// The `id` field, if present and numeric.
    pub id: Option<u64>,
    /// The `data` fields, joined by line feeds.
    pub data: String,
    /// The weight version from this event on, if it changes with this event.
    pub version: Option<Version>,
}

/// Part of a stream up to an empty line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Block {
    /// The event; `None` if there are comments only, or nothing.
    pub event: Option<Event>,
    /// Its bytes, with the empty line.
    pub bytes: Bytes,
}

/// Why the input is not a valid event stream.
#[derive(Clone, Copy, Debug, Eq, thiserror::Error, PartialEq)]
pub enum EventError {
    /// An event exceeds the size limit.
    #[error("event exceeds {MAX_EVENT_BYTES} bytes")]
    TooLarge,
    /// An event is not valid UTF-8.
    #[error("event is not valid UTF-8")]
    NotUtf8,
    /// The stream ended in the middle of an event.
    #[error("stream ended in the middle of an event")]
    Truncated,
}

/// Splits a stream of bytes into events.
#[derive(Debug, Default)]
pub struct EventParser {
    buf: BytesMut,
    /// Length of the start of `buf` that holds no end of an event.
    scanned: usize,
    /// Name of the field that carries the weight version, in lower case.
    version_field: String,
}

impl EventParser {
    /// Creates a parser of streams whose events carry the weight version in
    /// `version_field`.
    #[must_use]
    pub fn new(version_field: &str) -> Self {
        Self { buf: BytesMut::new(), scanned: 0, version_field: version_field.to_ascii_lowercase() }
    }

    /// Appends received bytes; `next_event` returns the events completed by
    /// them.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Returns the next complete event, or `None` if more bytes are needed.
    ///
    /// # Errors
    ///
    /// An event is too large or not valid UTF-8.
    pub fn next_event(&mut self) -> Result<Option<Event>, EventError> {
        loop {
            match self.next_block()? {
                Some(Block { event: None, .. }) => {}
                Some(block) => return Ok(block.event),
                None => return Ok(None),
            }
        }
    }

    /// Returns what comes up to the end of the next empty line, or `None` if more bytes
    /// are needed.
    ///
    /// # Errors
    ///
    /// An event is too large or not valid UTF-8.
    pub fn next_block(&mut self) -> Result<Option<Block>, EventError> {
        let Some((len, separator_len)) = find_event_end(&self.buf, self.scanned) else {
            // The separator may have arrived in part.
            self.scanned = self.buf.len().saturating_sub(MAX_SEPARATOR_BYTES - 1);
            let too_large = self.buf.len() > MAX_EVENT_BYTES;
            return if too_large { Err(EventError::TooLarge) } else { Ok(None) };
        };
        let bytes = self.buf.split_to(len + separator_len).freeze();
        self.scanned = 0;
        let text = std::str::from_utf8(&bytes[..len]).map_err(|_| EventError::NotUtf8)?;
        // Comments keep a connection alive and are no event; nor are empty lines.
        let has_event = !text.lines().all(|line| line.starts_with(':'));
        let event = has_event.then(|| self.parse_event(text));
        Ok(Some(Block { event, bytes }))
    }

    /// Checks that the stream ended after a complete event.
    ///
    /// # Errors
    ///
    /// The last event is incomplete.
    pub fn finish(&self) -> Result<(), EventError> {
        if self.buf.iter().all(u8::is_ascii_whitespace) {
            return Ok(());
        }
        Err(EventError::Truncated)
    }

    fn parse_event(&self, text: &str) -> Event {
        let mut event = Event::default();
        let mut data: Option<String> = None;
        for line in text.lines() {
            let (field, value) = line.split_once(':').unwrap_or((line, ""));
            let value = value.strip_prefix(' ').unwrap_or(value);
            if field == "data" {
                match &mut data {
                    Some(data) => {
                        data.push('\n');
                        data.push_str(value);
                    }
                    None => data = Some(value.to_owned()),
                }
            } else if field == "id" {
                event.id = value.parse().ok();
            } else if field.eq_ignore_ascii_case(&self.version_field) {
                event.version = value.parse().ok();
            }
        }
        event.data = data.unwrap_or_default();
        event
    }
}

/// Finds the first empty line that ends after `from`. Returns the length of the
/// event before it and the length of the separator.
fn find_event_end(buf: &[u8], mut from: usize) -> Option<(usize, usize)> {
    while let Some(at) = buf[from..].iter().position(|&byte| byte == b'\n') {
        let at = from + at;
        match buf.get(at + 1..) {
            Some([b'\n', ..]) => return Some((at, 2)),
            Some([b'\r', b'\n', ..]) => return Some((at, 3)),
            _ => from = at + 1,
        }
    }
    None
}
