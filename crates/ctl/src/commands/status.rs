//! `status`: shows the hosts and the status that each last reported.

use tamaracksail_model::host::Host;
use tamaracksail_model::store;
use tamaracksail_policy::process::status::Status;
use tamaracksail_process::clock::Clock;
use tamaracksail_process::settings::Parser;

use crate::{Failure, output, platform};

/// The help text.
pub const HELP: &str = "\
tamaracksailctl status [-o json]

Shows the current generation and the hosts, with their phase on the host list and the status
that entries last reported for themselves and for the backend servers that they use.
";

/// Runs the command.
pub async fn run(mut parser: Parser) -> Result<(), Failure> {
    let format = output::format(&mut parser);
    let client = platform::client(&mut parser);
    parser.finish();
    let now = Clock::start().now();
    let (head, _) = platform::fetch_config(&client, None).await?;
    let hosts = platform::get(&client, "hosts")
        .await?
        .unwrap_or_else(|| b"[]".to_vec());
    let hosts: Vec<Host> = store::decode("hosts", &hosts)?;
    let mut statuses: Vec<Status> = Vec::new();
    for key in client.list("status/").await? {
        if let Some(value) = platform::get(&client, &key).await? {
            statuses.push(store::decode(&key, &value)?);
        }
    }
    let mut rows = Vec::new();
    for host in &hosts {
        let own_status = statuses.iter().find(|status| status.host == host.name);
        let reported_server = statuses
            .iter()
            .flat_map(|status| &status.servers)
            .find(|server| server.host == host.name);
        let detail = match (own_status, reported_server) {
            (Some(status), _) => format!(
                "generation {} done {} not-run {} unknown {} ({} s ago)",
                status.generation.0,
                status.counters.done,
                status.counters.not_run,
                status.counters.unknown,
                now.since(status.at).as_secs(),
            ),
            (None, Some(server)) => format!(
                "eligible {} running {} versions {}",
                server.is_eligible,
                server.running,
                server
                    .versions
                    .iter()
                    .map(|(m, v)| format!("{m}@{}", v.0))
                    .collect::<Vec<_>>()
                    .join(" "),
            ),
            (None, None) => String::new(),
        };
        rows.push(vec![
            host.name.to_string(),
            format!("{:?}", host.role).to_lowercase(),
            host.domain.to_string(),
            format!("{:?}", host.phase).to_lowercase(),
            host.address.to_string(),
            detail,
        ]);
    }
    let value = serde_json::json!({
        "generation": head.generation(), "hosts": hosts, "statuses": statuses,
    });
    output::print(
        format,
        &value,
        &["HOST", "ROLE", "DOMAIN", "PHASE", "ADDRESS", "DETAIL"],
        &rows,
    );
    if format == output::Format::Table {
        println!("generation {} is in force", head.generation().0);
    }
    Ok(())
}
