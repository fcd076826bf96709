//! The platform: objects with revisions, conditional updates and watches, a host list that
//! lags, and a rate-limited weight store. Every call is counted, a waiting watch as one.

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

/// The bytes of a version's weights.
const WEIGHT_BYTES: usize = 64 * 1024;

/// Faults of the platform.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Switches {
    /// Every call is refused.
    pub outage: bool,
    /// Every call takes this much longer, in milliseconds.
    pub delay_ms: u64,
    /// So many writes take effect, but their answers are lost.
    pub lose_answers: u32,
    /// The host list shows changes this much later, in milliseconds.
    pub host_lag_ms: u64,
    /// Weights that the store hands out at a time; zero: no limit.
    pub weight_limit: u32,
    /// How long handing out weights takes, in milliseconds.
    pub weight_ms: u64,
}

/// How often each kind of call was made.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Calls {
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

/// The platform's state.
pub struct Platform {
    objects: Mutex<BTreeMap<String, Object>>,
    hosts: Mutex<Hosts>,
    calls: Mutex<Calls>,
    loading: Mutex<u32>,
    changed: watch::Sender<u64>,
}

/// The host list and its changes that do not show yet.
#[derive(Debug, Default)]
struct Hosts {
    shown: BTreeMap<String, Host>,
    revision: u64,
    pending: VecDeque<(Instant, String, Option<Host>)>,
}

impl Default for Platform {
    fn default() -> Self {
        Self {
            objects: Mutex::default(),
            hosts: Mutex::default(),
            calls: Mutex::default(),
            loading: Mutex::default(),
            changed: watch::channel(0).0,
        }
    }
}

type State = web::Data<Platform>;
type Switch = web::Data<Faults<Switches>>;

/// Adds the routes of a platform with the given state.
pub fn routes(state: &State, switches: &Switch, config: &mut web::ServiceConfig) {
    config
        .app_data(state.clone())
        .app_data(switches.clone())
        .route("/objects/{key:.*}", web::get().to(get))
        .route("/objects/{key:.*}", web::put().to(put))
        .route("/list/{prefix:.*}", web::get().to(list))
        .route("/hosts", web::get().to(get_hosts))
        .route("/hosts/{name}", web::put().to(put_host))
        .route("/hosts/{name}", web::delete().to(delete_host))
        .route("/weights/{model}/{version}", web::get().to(weights))
        .route("/calls", web::get().to(calls))
        .route("/faults", web::post().to(faults::set::<Switches>));
}

#[derive(Deserialize)]
struct Wait {
    after: Option<u64>,
    wait_ms: Option<u64>,
}

async fn fail(switches: &Switch) -> Option<HttpResponse> {
    let faults = switches.get();
    if faults.delay_ms > 0 {
        actix_rt::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    }
    faults
        .outage
        .then(|| HttpResponse::ServiceUnavailable().body("outage\n"))
}

impl Platform {
    fn count(&self, count: impl FnOnce(&mut Calls)) {
        count(&mut self.calls.lock().expect("no holder panics"));
    }

    fn object(&self, key: &str) -> Option<Object> {
        self.objects
            .lock()
            .expect("no holder panics")
            .get(key)
            .cloned()
    }

    fn host_list(&self) -> Object {
        let mut hosts = self.hosts.lock().expect("no holder panics");
        while hosts
            .pending
            .front()
            .is_some_and(|(at, _, _)| *at <= Instant::now())
        {
            let Some((_, name, host)) = hosts.pending.pop_front() else {
                break;
            };
            match host {
                Some(host) => hosts.shown.insert(name, host),
                None => hosts.shown.remove(&name),
            };
            hosts.revision += 1;
        }
        let list: Vec<&Host> = hosts.shown.values().collect();
        let value = serde_json::to_vec(&list).expect("hosts can be represented");
        Object {
            revision: hosts.revision,
            value,
        }
    }

    fn notify(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Waits until `read` gives a revision above `after`, or the time is over.
    async fn wait(
        &self,
        wait: &Wait,
        switches: &Switch,
        read: impl Fn() -> Option<Object>,
    ) -> Option<Object> {
        /// Host list changes show by time, not by a notification.
        const POLL: Duration = Duration::from_millis(20);
        let until = Instant::now() + Duration::from_millis(wait.wait_ms.unwrap_or(0));
        let after = wait.after.unwrap_or(0);
        let mut changed = self.changed.subscribe();
        loop {
            let object = read();
            let is_new = object
                .as_ref()
                .is_some_and(|object| object.revision > after);
            if is_new || Instant::now() >= until || switches.get().outage {
                return object;
            }
            drop(actix_rt::time::timeout(POLL, changed.changed()).await);
        }
    }
}

fn answer(object: Option<Object>, after: Option<u64>) -> HttpResponse {
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
    switches: Switch,
    key: web::Path<String>,
    wait: web::Query<Wait>,
) -> HttpResponse {
    let is_watch = wait.after.is_some();
    state.count(|calls| {
        *(if is_watch {
            &mut calls.watches
        } else {
            &mut calls.reads
        }) += 1;
    });
    if let Some(failure) = fail(&switches).await {
        return failure;
    }
    let object = state.wait(&wait, &switches, || state.object(&key)).await;
    if is_watch && switches.get().outage {
        return HttpResponse::ServiceUnavailable().finish();
    }
    answer(object, wait.after)
}

async fn get_hosts(state: State, switches: Switch, wait: web::Query<Wait>) -> HttpResponse {
    let is_watch = wait.after.is_some();
    state.count(|calls| {
        *(if is_watch {
            &mut calls.watches
        } else {
            &mut calls.reads
        }) += 1;
    });
    if let Some(failure) = fail(&switches).await {
        return failure;
    }
    let object = state
        .wait(&wait, &switches, || Some(state.host_list()))
        .await;
    answer(object, wait.after)
}

async fn put(
    state: State,
    switches: Switch,
    key: web::Path<String>,
    request: HttpRequest,
    body: web::Bytes,
) -> HttpResponse {
    state.count(|calls| calls.writes += 1);
    if let Some(failure) = fail(&switches).await {
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
        let mut objects = state.objects.lock().expect("no holder panics");
        let object = objects.entry(key.into_inner()).or_default();
        if object.revision != expected {
            return HttpResponse::PreconditionFailed().finish();
        }
        object.revision += 1;
        object.value = body.to_vec();
        object.revision
    };
    state.notify();
    let is_lost = switches.change(|faults| {
        let is_lost = faults.lose_answers > 0;
        faults.lose_answers = faults.lose_answers.saturating_sub(1);
        is_lost
    });
    if is_lost {
        return HttpResponse::GatewayTimeout().finish();
    }
    HttpResponse::Ok()
        .insert_header((REVISION, revision.to_string()))
        .finish()
}

async fn list(state: State, switches: Switch, prefix: web::Path<String>) -> HttpResponse {
    state.count(|calls| calls.reads += 1);
    if let Some(failure) = fail(&switches).await {
        return failure;
    }
    let objects = state.objects.lock().expect("no holder panics");
    let keys: Vec<&String> = objects
        .keys()
        .filter(|key| key.starts_with(&**prefix))
        .collect();
    HttpResponse::Ok().json(keys)
}

fn change_host(state: &State, switches: &Switch, name: String, host: Option<Host>) {
    let at = Instant::now() + Duration::from_millis(switches.get().host_lag_ms);
    state
        .hosts
        .lock()
        .expect("no holder panics")
        .pending
        .push_back((at, name, host));
    state.notify();
}

async fn put_host(
    state: State,
    switches: Switch,
    name: web::Path<String>,
    host: web::Json<Host>,
) -> HttpResponse {
    change_host(
        &state,
        &switches,
        name.into_inner(),
        Some(host.into_inner()),
    );
    HttpResponse::Ok().finish()
}

async fn delete_host(state: State, switches: Switch, name: web::Path<String>) -> HttpResponse {
    change_host(&state, &switches, name.into_inner(), None);
    HttpResponse::Ok().finish()
}

async fn weights(state: State, switches: Switch, path: web::Path<(String, u64)>) -> HttpResponse {
    state.count(|calls| calls.weights += 1);
    if let Some(failure) = fail(&switches).await {
        return failure;
    }
    let faults = switches.get();
    {
        let mut loading = state.loading.lock().expect("no holder panics");
        if faults.weight_limit > 0 && *loading >= faults.weight_limit {
            return HttpResponse::TooManyRequests()
                .insert_header(("retry-after", "1"))
                .finish();
        }
        *loading += 1;
    }
    actix_rt::time::sleep(Duration::from_millis(faults.weight_ms)).await;
    *state.loading.lock().expect("no holder panics") -= 1;
    let (model, version) = path.into_inner();
    let mut weights = format!("{model}@{version}\n").into_bytes();
    weights.resize(WEIGHT_BYTES, 0);
    HttpResponse::Ok().body(weights)
}

async fn calls(state: State) -> HttpResponse {
    HttpResponse::Ok().json(*state.calls.lock().expect("no holder panics"))
}
