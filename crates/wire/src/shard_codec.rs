//! Hand-written serde implementations of shard requests and replies, which are sent
//! most often.
//!
//! Both are encoded as tuples of fixed length, without field names, and the visitors
//! build the value directly without an intermediate map.

use std::fmt;

use serde::{
    Deserialize, Deserializer, Serialize, Serializer,
    de::{Error, SeqAccess, Visitor},
    ser::SerializeTuple,
};

use crate::shard::{ShardReply, ShardRequest};

/// Number of fields of an encoded [`ShardRequest`].
const REQUEST_FIELDS: usize = 10;

/// Number of fields of an encoded [`ShardReply`].
const REPLY_FIELDS: usize = 6;

impl Serialize for ShardRequest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut tuple = serializer.serialize_tuple(REQUEST_FIELDS)?;
        tuple.serialize_element(&self.id)?;
        tuple.serialize_element(&self.server)?;
        tuple.serialize_element(&self.shard)?;
        tuple.serialize_element(&self.snapshot)?;
        tuple.serialize_element(&self.budget_us)?;
        tuple.serialize_element(&self.idempotency_key)?;
        tuple.serialize_element(&self.hedge)?;
        tuple.serialize_element(&self.customer)?;
        tuple.serialize_element(&self.caller)?;
        tuple.serialize_element(&self.body)?;
        tuple.end()
    }
}

impl<'de> Deserialize<'de> for ShardRequest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_tuple(REQUEST_FIELDS, RequestVisitor)
    }
}

struct RequestVisitor;

impl<'de> Visitor<'de> for RequestVisitor {
    type Value = ShardRequest;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a shard request of {REQUEST_FIELDS} fields")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut fields: A) -> Result<ShardRequest, A::Error> {
        Ok(ShardRequest {
            id: next_field(&mut fields, 0)?,
            server: next_field(&mut fields, 1)?,
            shard: next_field(&mut fields, 2)?,
            snapshot: next_field(&mut fields, 3)?,
            budget_us: next_field(&mut fields, 4)?,
            idempotency_key: next_field(&mut fields, 5)?,
            hedge: next_field(&mut fields, 6)?,
            customer: next_field(&mut fields, 7)?,
            caller: next_field(&mut fields, 8)?,
            body: next_field(&mut fields, 9)?,
        })
    }
}

impl Serialize for ShardReply {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut tuple = serializer.serialize_tuple(REPLY_FIELDS)?;
        tuple.serialize_element(&self.id)?;
        tuple.serialize_element(&self.shard)?;
        tuple.serialize_element(&self.snapshot)?;
        tuple.serialize_element(&self.result)?;
        tuple.serialize_element(&self.queue_length)?;
        tuple.serialize_element(&self.service_us)?;
        tuple.end()
    }
}

impl<'de> Deserialize<'de> for ShardReply {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_tuple(REPLY_FIELDS, ReplyVisitor)
    }
}

struct ReplyVisitor;

impl<'de> Visitor<'de> for ReplyVisitor {
    type Value = ShardReply;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a shard reply of {REPLY_FIELDS} fields")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut fields: A) -> Result<ShardReply, A::Error> {
        Ok(ShardReply {
            id: next_field(&mut fields, 0)?,
            shard: next_field(&mut fields, 1)?,
            snapshot: next_field(&mut fields, 2)?,
            result: next_field(&mut fields, 3)?,
            queue_length: next_field(&mut fields, 4)?,
            service_us: next_field(&mut fields, 5)?,
        })
    }
}

/// Reads the field at `position`.
///
/// # Errors
///
/// Fails with the number of fields read so far when the input has no more.
fn next_field<'de, A, T>(fields: &mut A, position: usize) -> Result<T, A::Error>
where
    A: SeqAccess<'de>,
    T: Deserialize<'de>,
{
    fields.next_element()?.ok_or_else(|| A::Error::invalid_length(position, &"more fields"))
}
