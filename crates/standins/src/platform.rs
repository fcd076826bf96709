//! A stand-in for the platform: objects with revisions, conditional updates and watches, a host
//! list that may lag, and a weight store with a limit on concurrent downloads. Every call is
//! counted; a watch counts once, however long it waits.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use actix_web::{HttpRequest, HttpResponse, web};
use serde::{Deserialize, Serialize};
use tamaracksail_model::host::Host;
use tamaracksail_platform::{IF_REVISION, REVISION};
use tokio::sync::watch;

use crate::faults::{self, Faults};

/// The largest value, in bytes.
const MAX_VALUE_BYTES: usize = 1_000_000;

/// The size of a version's weights, in bytes.
const WEIGHT_BYTES: usize = 64 * 1024;

/// The faults that the platform injects.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultSettings {
    /// Every call fails.
    pub outage: bool,
    /// Every call takes this much longer, in milliseconds.
    pub delay_ms: u64,
    /// The number of writes that still take effect but get an error response.
    pub lose_answers: u32,
    /// The delay before a change is visible in the host list, in milliseconds.
    pub host_lag_ms: u64,
    /// The number of weight downloads that may run at a time. Zero sets no limit.
    pub weight_limit: u32,
    /// How long a weight download takes, in milliseconds.
    pub weight_ms: u64,
}

/// The number of calls of each kind.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct CallCounts {
    reads: u64,
    writes: u64,
    watches: u64,
    weights: u64,
}

#[derive(Clone, Debug, Default)]
struct Object {
    revision: u64,
    value: Vec<u8>,
}

/// The state of the platform.
pub struct Platform {
    objects: Mutex<BTreeMap<String, Object>>,
    hosts: Mutex<Hosts>,
    calls: Mutex<CallCounts>,
    weight_downloads: Mutex<u32>,
    /// Incremented after every change of an object or a host.
    changed: watch::Sender<u64>,
}

/// The host list, and its changes that are not visible yet.
#[derive(Debug, Default)]
struct Hosts {
    visible: BTreeMap<String, Host>,
    revision: u64,
    pending: VecDeque<(Instant, String, Option<Host>)>,
}

impl Default for Platform {
    fn default() -> Self {
        Self {
            objects: Mutex::default(),
            hosts: Mutex::default(),
            calls: Mutex::default(),
            weight_downloads: Mutex::default(),
            changed: watch::channel(0).0,
        }
    }
}

type State = web::Data<Platform>;
type FaultState = web::Data<Faults<FaultSettings>>;

/// Adds the routes of a platform with the given state.
pub fn routes(state: &State, fault_state: &FaultState, config: &mut web::ServiceConfig) {
    config
        .app_data(state.clone())
        .app_data(fault_state.clone())
        .route("/objects/{key:.*}", web::get().to(get))
        .route("/objects/{key:.*}", web::put().to(put))
        .route("/list/{prefix:.*}", web::get().to(list))
        .route("/hosts", web::get().to(get_hosts))
        .route("/hosts/{name}", web::put().to(put_host))
        .route("/hosts/{name}", web::delete().to(delete_host))
        .route("/weights/{model}/{version}", web::get().to(weights))
        .route("/calls", web::get().to(calls))
        .route("/faults", web::post().to(faults::set::<FaultSettings>));
}

#[derive(Deserialize)]
struct WatchQuery {
    after: Option<u64>,
    wait_ms: Option<u64>,
}

/// Delays the call as the faults say, and returns an error response during an outage.
async fn inject_fault(fault_state: &FaultState) -> Option<HttpResponse> {
    let faults = fault_state.get();
    if faults.delay_ms > 0 {
        actix_rt::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    }
    faults
        .outage
        .then(|| HttpResponse::ServiceUnavailable().body("outage\n"))
}

impl Platform {
    fn count_call(&self, increment: impl FnOnce(&mut CallCounts)) {
        increment(&mut self.calls.lock().expect("no holder of the lock panics"));
    }

    fn object(&self, key: &str) -> Option<Object> {
        self.objects
            .lock()
            .expect("no holder of the lock panics")
            .get(key)
            .cloned()
    }

    fn host_list(&self) -> Object {
        let mut hosts = self.hosts.lock().expect("no holder of the lock panics");
        while hosts
            .pending
            .front()
            .is_some_and(|(visible_at, _, _)| *visible_at <= Instant::now())
        {
            let Some((_, name, host)) = hosts.pending.pop_front() else {
                break;
            };
            match host {
                Some(host) => hosts.visible.insert(name, host),
                None => hosts.visible.remove(&name),
            };
            hosts.revision += 1;
        }
        let list: Vec<&Host> = hosts.visible.values().collect();
        let value = serde_json::to_vec(&list).expect("hosts can be represented");
        Object {
            revision: hosts.revision,
            value,
        }
    }

    fn notify(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Waits until `read` returns a revision above that of the query, the query times out or an
    /// outage starts, and returns the object.
    async fn wait_for_change(
        &self,
        query: &WatchQuery,
        fault_state: &FaultState,
        read: impl Fn() -> Option<Object>,
    ) -> Option<Object> {
        /// Delayed changes of the host list become visible without a notification.
        const POLL_INTERVAL: Duration = Duration::from_millis(20);
        let deadline = Instant::now() + Duration::from_millis(query.wait_ms.unwrap_or(0));
        let after = query.after.unwrap_or(0);
        let mut changed = self.changed.subscribe();
        loop {
            let object = read();
            let is_new = object
                .as_ref()
                .is_some_and(|object| object.revision > after);
            if is_new || Instant::now() >= deadline || fault_state.get().outage {
                return object;
            }
            drop(actix_rt::time::timeout(POLL_INTERVAL, changed.changed()).await);
        }
    }
}

fn respond(object: Option<Object>, after: Option<u64>) -> HttpResponse {
    let Some(object) = object else {
        return HttpResponse::NotFound().finish();
    };
    let revision = (REVISION, object.revision.to_string());
    if after.is_some_and(|after| object.revision <= after) {
        return HttpResponse::NotModified().insert_header(revision).finish();
    }
    HttpResponse::Ok()
        .insert_header(revision)
        .body(object.value)
}

async fn get(
    state: State,
    fault_state: FaultState,
    key: web::Path<String>,
    query: web::Query<WatchQuery>,
) -> HttpResponse {
    let is_watch = query.after.is_some();
    state.count_call(|calls| {
        *(if is_watch {
            &mut calls.watches
        } else {
            &mut calls.reads
        }) += 1;
    });
    if let Some(failure) = inject_fault(&fault_state).await {
        return failure;
    }
    let object = state
        .wait_for_change(&query, &fault_state, || state.object(&key))
        .await;
    if is_watch && fault_state.get().outage {
        return HttpResponse::ServiceUnavailable().finish();
    }
    respond(object, query.after)
}

async fn get_hosts(
    state: State,
    fault_state: FaultState,
    query: web::Query<WatchQuery>,
) -> HttpResponse {
    let is_watch = query.after.is_some();
    state.count_call(|calls| {
        *(if is_watch {
            &mut calls.watches
        } else {
            &mut calls.reads
        }) += 1;
    });
    if let Some(failure) = inject_fault(&fault_state).await {
        return failure;
    }
    let object = state
        .wait_for_change(&query, &fault_state, || Some(state.host_list()))
        .await;
    respond(object, query.after)
}

async fn put(
    state: State,
    fault_state: FaultState,
    key: web::Path<String>,
    request: HttpRequest,
    body: web::Bytes,
) -> HttpResponse {
    state.count_call(|calls| calls.writes += 1);
    if let Some(failure) = inject_fault(&fault_state).await {
        return failure;
    }
    if body.len() > MAX_VALUE_BYTES {
        return HttpResponse::PayloadTooLarge().finish();
    }
    let header = request
        .headers()
        .get(IF_REVISION)
        .and_then(|value| value.to_str().ok());
    let Some(expected) = header.and_then(|text| text.parse::<u64>().ok()) else {
        return HttpResponse::BadRequest().body("if-revision is missing\n");
    };
    let revision = {
        let mut objects = state.objects.lock().expect("no holder of the lock panics");
        let object = objects.entry(key.into_inner()).or_default();
        if object.revision != expected {
            return HttpResponse::PreconditionFailed().finish();
        }
        object.revision += 1;
        object.value = body.to_vec();
        object.revision
    };
    state.notify();
    let is_response_lost = fault_state.change(|faults| {
        let is_response_lost = faults.lose_answers > 0;
        faults.lose_answers = faults.lose_answers.saturating_sub(1);
        is_response_lost
    });
    if is_response_lost {
        return HttpResponse::GatewayTimeout().finish();
    }
    HttpResponse::Ok()
        .insert_header((REVISION, revision.to_string()))
        .finish()
}

async fn list(state: State, fault_state: FaultState, prefix: web::Path<String>) -> HttpResponse {
    state.count_call(|calls| calls.reads += 1);
    if let Some(failure) = inject_fault(&fault_state).await {
        return failure;
    }
    let objects = state.objects.lock().expect("no holder of the lock panics");
    let keys: Vec<&String> = objects
        .keys()
        .filter(|key| key.starts_with(&**prefix))
        .collect();
    HttpResponse::Ok().json(keys)
}

fn change_host(state: &State, fault_state: &FaultState, name: String, host: Option<Host>) {
    let visible_at = Instant::now() + Duration::from_millis(fault_state.get().host_lag_ms);
    state
        .hosts
        .lock()
        .expect("no holder of the lock panics")
        .pending
        .push_back((visible_at, name, host));
    state.notify();
}

async fn put_host(
    state: State,
    fault_state: FaultState,
    name: web::Path<String>,
    host: web::Json<Host>,
) -> HttpResponse {
    change_host(
        &state,
        &fault_state,
        name.into_inner(),
        Some(host.into_inner()),
    );
    HttpResponse::Ok().finish()
}

async fn delete_host(
    state: State,
    fault_state: FaultState,
    name: web::Path<String>,
) -> HttpResponse {
    change_host(&state, &fault_state, name.into_inner(), None);
    HttpResponse::Ok().finish()
}

async fn weights(
    state: State,
    fault_state: FaultState,
    path: web::Path<(String, u64)>,
) -> HttpResponse {
    state.count_call(|calls| calls.weights += 1);
    if let Some(failure) = inject_fault(&fault_state).await {
        return failure;
    }
    let faults = fault_state.get();
    {
        let mut weight_downloads = state
            .weight_downloads
            .lock()
            .expect("no holder of the lock panics");
        if faults.weight_limit > 0 && *weight_downloads >= faults.weight_limit {
            return HttpResponse::TooManyRequests()
                .insert_header(("retry-after", "1"))
                .finish();
        }
        *weight_downloads += 1;
    }
    actix_rt::time::sleep(Duration::from_millis(faults.weight_ms)).await;
    *state
        .weight_downloads
        .lock()
        .expect("no holder of the lock panics") -= 1;
    let (model, version) = path.into_inner();
    let mut weights = format!("{model}@{version}\n").into_bytes();
    weights.resize(WEIGHT_BYTES, 0);
    HttpResponse::Ok().body(weights)
}

async fn calls(state: State) -> HttpResponse {
    HttpResponse::Ok().json(*state.calls.lock().expect("no holder of the lock panics"))
}
