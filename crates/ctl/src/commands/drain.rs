//! `drain`: stops sending new work to a host's backend server.

use std::time::Duration;

use tamaracksail_model::host::{Host, Role};
use tamaracksail_model::store;
use tamaracksail_process::settings::Parser;

use crate::{Failure, platform};

/// The help text.
pub const HELP: &str = "\
tamaracksailctl drain HOST

Tells the host's agent to accept no new work; work in progress finishes. The platform must be
available, since the host's address is read from its host list. Stop the process with SIGTERM
once `status` shows nothing running. SIGTERM without this command drains as well.
";

/// Runs the command.
pub async fn run(mut parser: Parser) -> Result<(), Failure> {
    const DRAIN_REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
    let client = platform::client(&mut parser);
    let names = parser.positional();
    if names.len() != 1 {
        parser.report_invalid("HOST", "give exactly one");
    }
    parser.finish();
    let hosts = platform::get(&client, "hosts")
        .await?
        .unwrap_or_else(|| b"[]".to_vec());
    let hosts: Vec<Host> = store::decode("hosts", &hosts)?;
    let host = hosts.iter().find(|host| host.name.as_str() == names[0]);
    let host = host.ok_or_else(|| Failure::new(format!("{}: not on the host list", names[0])))?;
    if host.role != Role::Agent {
        return Err(Failure::new(format!(
            "{}: no agent; stop it with SIGTERM",
            host.name
        )));
    }
    let url = format!("http://{}/v1/drain", host.address);
    let response = awc::Client::default()
        .post(url)
        .timeout(DRAIN_REQUEST_TIMEOUT)
        .send()
        .await;
    match response {
        Ok(response) if response.status().is_success() => {
            println!("{} takes no new work", host.name);
            Ok(())
        }
        Ok(response) => Err(Failure::new(format!(
            "drain {}: {}",
            host.name,
            response.status()
        ))),
        Err(error) => Err(Failure::new(format!("drain {}: {error}", host.name))),
    }
}
