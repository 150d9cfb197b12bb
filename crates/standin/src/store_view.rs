//! The platform's store as one host sees it, which reaches the targets at addresses
//! of its own.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Buf;
use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use http::Request;
use serde_json::Value;
use serde_json::json;

use crate::Handler;
use crate::Reply;

/// The topic of the targets' entries.
const TARGET_TOPIC: &str = "topic=keyed.servers";
/// Size of what precedes the records of a read: two offsets.
const READ_HEAD_BYTES: usize = 16;

/// A store whose list of targets has other addresses.
#[derive(Debug)]
pub(crate) struct StoreView {
    store: Arc<dyn Handler>,
    addrs: BTreeMap<String, SocketAddr>,
}

impl StoreView {
    /// Creates a view of a store with these addresses, by the targets' ids.
    pub(crate) fn new(store: Arc<dyn Handler>, addrs: BTreeMap<String, SocketAddr>) -> Self {
        Self { store, addrs }
    }

    /// Returns a target's entry with its address in this view.
    fn rewrite(&self, id: &str, entry: &[u8]) -> Vec<u8> {
        let parsed = serde_json::from_slice::<Value>(entry).ok();
        match (parsed, self.addrs.get(id)) {
            (Some(Value::Object(mut fields)), Some(addr)) => {
                fields.insert("address".to_owned(), json!(addr.to_string()));
                Value::Object(fields).to_string().into_bytes()
            }
            _ => entry.to_vec(),
        }
    }

    fn rewrite_newest(&self, mut page: Value) -> Value {
        for item in page["items"].as_array_mut().into_iter().flatten() {
            let id = item["key"].as_str().unwrap_or_default().to_owned();
            let entry = item["value"].as_str().and_then(|value| STANDARD.decode(value).ok());
            let entry = self.rewrite(&id, &entry.unwrap_or_default());
            item["value"] = json!(STANDARD.encode(entry));
        }
        page
    }

    fn rewrite_records(&self, mut body: Bytes) -> Bytes {
        let mut rewritten = BytesMut::new();
        rewritten.put(body.split_to(READ_HEAD_BYTES.min(body.len())));
        while body.remaining() >= 4 {
            let len = body.get_u32() as usize;
            let mut record = body.split_to(len.min(body.len()));
            let key_len = usize::from(record.get_u8());
            let key = record.split_to(key_len.min(record.len()));
            let value = self.rewrite(&String::from_utf8_lossy(&key), &record);
            let len = 1 + key.len() + value.len();
            rewritten.put_u32(u32::try_from(len).unwrap_or(u32::MAX));
            rewritten.put_u8(u8::try_from(key.len()).unwrap_or(u8::MAX));
            rewritten.put(key);
            rewritten.put_slice(&value);
        }
        rewritten.freeze()
    }
}

#[async_trait]
impl Handler for StoreView {
    async fn handle(&self, request: Request<Bytes>) -> Reply {
        let query = request.uri().query().unwrap_or_default();
        let lists_targets = query.split('&').any(|pair| pair == TARGET_TOPIC);
        match self.store.handle(request).await {
            Reply::Json(200, page) if lists_targets => Reply::Json(200, self.rewrite_newest(page)),
            Reply::Bytes(200, headers, body) if lists_targets => {
                Reply::Bytes(200, headers, self.rewrite_records(body))
            }
            reply => reply,
        }
    }
}
