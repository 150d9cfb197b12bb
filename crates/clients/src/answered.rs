//! The requests that were answered on a connection.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use http::Response;
use http::StatusCode;
use smol_str::SmolStr;

/// Number of answers that a connection remembers.
const MAX_ANSWERS: usize = 32;

/// The latest requests that were answered on a connection, by id, with the status
/// of their answers. A response carries it among its extensions.
///
/// A peer may send an answer twice, the second time where the response to a later
/// request is due. Requests that are sent again keep their id, so the id alone
/// does not tell the copy from the answer. The status often does, since a copy
/// has that of the first answer.
#[derive(Clone, Debug, Default)]
pub(crate) struct AnsweredRequests {
    latest: Arc<Mutex<VecDeque<(SmolStr, StatusCode)>>>,
}

impl AnsweredRequests {
    /// Records an answer. Returns whether a request with this id was answered
    /// with the same status before.
    fn record(&self, id: &str, status: StatusCode) -> bool {
        let mut latest = self.latest.lock().unwrap_or_else(PoisonError::into_inner);
        if latest.iter().any(|(answered, with)| answered == id && *with == status) {
            return true;
        }
        if latest.len() == MAX_ANSWERS {
            latest.pop_front();
        }
        latest.push_back((id.into(), status));
        false
    }
}

/// Records that a request with this id was answered. Returns whether the response
/// may be the copy of an earlier answer on its connection, since a request with
/// this id was answered there with the same status before.
pub fn may_be_copy<B>(response: &Response<B>, id: &str) -> bool {
    let answered = response.extensions().get::<AnsweredRequests>();
    answered.is_some_and(|answered| answered.record(id, response.status()))
}
