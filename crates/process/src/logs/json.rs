//! The JSON format of log lines.

use std::time::{SystemTime, UNIX_EPOCH};

use log::Record;
use log::kv::{Error, Key, Value, VisitSource};
use log4rs::encode::{Encode, Write};
use serde_json::{Map, Value as Json};

/// Writes a record as one JSON object: `t` (milliseconds since the Unix epoch), `level`,
/// `module`, `event`, then the record's own fields.
#[derive(Debug)]
pub(super) struct JsonEncoder;

impl Encode for JsonEncoder {
    fn encode(&self, writer: &mut dyn Write, record: &Record) -> anyhow::Result<()> {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let millis = u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX);
        let mut fields = Fields(Map::new());
        fields.0.insert("t".to_owned(), millis.into());
        fields
            .0
            .insert("level".to_owned(), record.level().as_str().into());
        fields.0.insert("module".to_owned(), record.target().into());
        fields
            .0
            .insert("event".to_owned(), record.args().to_string().into());
        record.key_values().visit(&mut fields)?;
        serde_json::to_writer(&mut *writer, &fields.0)?;
        writer.write_all(b"\n")?;
        Ok(())
    }
}

struct Fields(Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let text = value.to_string();
        if text == "None" {
            return Ok(());
        }
        let json = if let Some(number) = value.to_u64() {
            number.into()
        } else if let Some(number) = value.to_i64() {
            number.into()
        } else if let Some(flag) = value.to_bool() {
            flag.into()
        } else if let Some(number) = value.to_f64() {
            number.into()
        } else {
            Json::String(text)
        };
        self.0.insert(key.to_string(), json);
        Ok(())
    }
}
