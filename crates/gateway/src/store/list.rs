use std::time::Duration;

use tamaracksail_adapter::store::{Client, Error, Object};

/// The time limit on a page of a list that a watch waits for. Together with the longest pause between two
/// retries it is shorter than the bound on the age of each fact.
const PAGE_TIMEOUT: Duration = Duration::from_secs(1);

/// Lists all objects of a kind. Also returns the revision from which to watch for changes.
///
/// # Errors
/// As [`Client::list`].
pub async fn list(client: &Client, kind: &str) -> Result<(Vec<Object>, u64), Error> {
    list_after(client, kind, None).await
}

/// As [`list`], for a watch: a page that gets no answer fails soon.
///
/// # Errors
/// As [`Client::list`].
pub(super) async fn list_soon(client: &Client, kind: &str) -> Result<(Vec<Object>, u64), Error> {
    list_pages(client, kind, None, Some(PAGE_TIMEOUT)).await
}

/// Lists the objects of a kind whose names sort after `start`. Also returns the revision from which
/// to watch for changes.
///
/// # Errors
/// As [`Client::list`].
pub async fn list_after(
    client: &Client,
    kind: &str,
    start: Option<String>,
) -> Result<(Vec<Object>, u64), Error> {
    list_pages(client, kind, start, None).await
}

/// Passes on all objects of a kind in the order of their names, one page after the other.
///
/// # Errors
/// As [`Client::list`], after objects may have been passed on.
pub async fn visit(client: &Client, kind: &str, visit: impl FnMut(Object)) -> Result<(), Error> {
    visit_pages(client, kind, None, None, visit).await?;
    Ok(())
}

async fn list_pages(
    client: &Client,
    kind: &str,
    start: Option<String>,
    limit: Option<Duration>,
) -> Result<(Vec<Object>, u64), Error> {
    let mut objects: Vec<Object> = Vec::new();
    let revision = visit_pages(client, kind, start, limit, |object| objects.push(object)).await?;
    Ok((objects, revision))
}

async fn visit_pages(
    client: &Client,
    kind: &str,
    start: Option<String>,
    limit: Option<Duration>,
    mut visit: impl FnMut(Object),
) -> Result<u64, Error> {
    let mut after = start;
    let mut revision = None;
    loop {
        let page = client.list(kind, after.as_deref());
        let page = match limit {
            None => page.await,
            Some(limit) => within(limit, kind, page).await,
        };
        let page = match page {
            Ok(page) => page,
            Err(Error::Missing { .. }) => return Ok(0),
            Err(error) => return Err(error),
        };
        // A watch from the first page's revision also reports changes made between two pages.
        let list_revision = *revision.get_or_insert(page.revision);
        let is_last = !page.has_more || page.items.is_empty();
        after = page.items.last().map(|last| last.name.clone()).or(after);
        page.items.into_iter().for_each(&mut visit);
        if is_last {
            return Ok(list_revision);
        }
    }
}

/// Gives up a read of a kind after `limit`.
pub(super) async fn within<T>(
    limit: Duration,
    kind: &str,
    read: impl Future<Output = Result<T, Error>>,
) -> Result<T, Error> {
    let answer = tokio::time::timeout(limit, read).await;
    answer.unwrap_or_else(|_| {
        Err(Error::Unknown {
            call: format!("read of {kind}"),
            problem: "no response in time".to_owned(),
        })
    })
}
