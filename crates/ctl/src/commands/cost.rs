//! `cost`: tokens used in a day and their price.

use std::collections::BTreeMap;

use tamaracksail_model::object::Spec;
use tamaracksail_model::store;
use tamaracksail_policy::process::cost::CostTable;
use tamaracksail_policy::process::status;
use tamaracksail_process::clock::Clock;
use tamaracksail_process::settings::Parser;

use crate::{Failure, output, platform};

/// The help text.
pub const HELP: &str = "\
tamaracksailctl cost [--day N] [-o json]

Sums the cost records that the entries wrote in a day: tokens by caller, model, class and use,
priced by the current Price objects. --day is a number of days since the Unix epoch; the default
is today. A process that crashes loses the records of at most its last status period.
";

/// Runs the command.
pub async fn run(mut parser: Parser) -> Result<(), Failure> {
    let format = output::format(&mut parser);
    let day: Option<u64> = parser.optional("--day");
    let client = platform::client(&mut parser);
    parser.finish();
    let day = day.unwrap_or(status::days_since_epoch(Clock::start().now()));
    let (_, snapshot) = platform::fetch_config(&client, None).await?;
    let prices: BTreeMap<_, _> = snapshot
        .objects
        .values()
        .filter_map(|spec| match spec {
            Spec::Price(price) => Some((price.model.clone(), price.millis_per_million_tokens)),
            _ => None,
        })
        .collect();
    let mut total = CostTable::default();
    for key in client.list(&status::cost_prefix(day)).await? {
        if let Some(value) = platform::get(&client, &key).await? {
            total.merge(&store::decode(&key, &value)?);
        }
    }
    let rows: Vec<Vec<String>> = total
        .sums
        .iter()
        .map(|(cost_key, sum)| {
            let price = prices.get(&cost_key.target).copied().unwrap_or(0);
            let micros = sum.completion_tokens * price / 1000;
            vec![
                cost_key.caller.to_string(),
                cost_key.target.to_string(),
                format!("{:?}", cost_key.class).to_lowercase(),
                format!("{:?}", cost_key.disposition).to_lowercase(),
                sum.attempts.to_string(),
                sum.prompt_tokens.to_string(),
                sum.completion_tokens.to_string(),
                format!("{}.{:06}", micros / 1_000_000, micros % 1_000_000),
            ]
        })
        .collect();
    let header = [
        "CALLER",
        "TARGET",
        "CLASS",
        "USE",
        "ATTEMPTS",
        "PROMPT",
        "COMPLETION",
        "PRICE",
    ];
    output::print(format, &total, &header, &rows);
    Ok(())
}
