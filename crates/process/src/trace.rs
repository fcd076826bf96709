//! Tracing: one span per hop with W3C trace context, exported over OTLP/HTTP if an endpoint is set.

use std::collections::HashMap;

use awc::http::Uri;
use bytes::Bytes;
use opentelemetry::propagation::TextMapPropagator;
pub use opentelemetry::trace::SpanKind;
use opentelemetry::trace::{Status, TraceContextExt, Tracer as _, TracerProvider};
use opentelemetry::{Context, KeyValue};
use opentelemetry_http::{HttpClient, HttpError, Request, Response};
use opentelemetry_otlp::{SpanExporter, WithExportConfig, WithHttpConfig};
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::propagation::TraceContextPropagator;
use opentelemetry_sdk::trace::{SdkTracer, SdkTracerProvider, Span as SdkSpan};
use tokio::sync::{mpsc, oneshot};

/// The header that carries trace context.
pub const TRACEPARENT: &str = "traceparent";

/// Creates spans.
#[derive(Clone, Debug)]
pub struct Tracer {
    tracer: SdkTracer,
    provider: SdkTracerProvider,
}

/// The span of one hop of a request.
#[derive(Debug)]
pub struct Span {
    context: Context,
}

impl Tracer {
    /// Creates a tracer for the process `name`, which exports to `endpoint` if one is set.
    ///
    /// # Errors
    /// If the exporter can't be created, for example because the endpoint is malformed.
    pub fn start(name: &'static str, endpoint: Option<&str>) -> Result<Self, String> {
        let resource = Resource::builder().with_service_name(name).build();
        let mut builder = SdkTracerProvider::builder().with_resource(resource);
        if let Some(endpoint) = endpoint {
            endpoint.parse::<Uri>().map_err(|error| error.to_string())?;
            let exporter = SpanExporter::builder()
                .with_http()
                .with_http_client(Exporter::start())
                .with_endpoint(endpoint)
                .build()
                .map_err(|error| error.to_string())?;
            builder = builder.with_batch_exporter(exporter);
        }
        let provider = builder.build();
        Ok(Self {
            tracer: provider.tracer(name),
            provider,
        })
    }

    /// Starts the span of a hop. Its parent is the trace context of the request, if there is one.
    #[must_use]
    pub fn span(&self, name: &'static str, kind: SpanKind, traceparent: Option<&str>) -> Span {
        let carrier: HashMap<String, String> = traceparent
            .map(|value| (TRACEPARENT.to_owned(), value.to_owned()))
            .into_iter()
            .collect();
        let parent = TraceContextPropagator::new().extract_with_context(&Context::new(), &carrier);
        let span: SdkSpan = self
            .tracer
            .span_builder(name)
            .with_kind(kind)
            .start_with_context(&self.tracer, &parent);
        Span {
            context: parent.with_span(span),
        }
    }

    /// Exports the remaining spans and stops.
    pub fn stop(&self) {
        drop(self.provider.shutdown());
    }
}

impl Span {
    /// Returns the trace context to pass on with the request.
    #[must_use]
    pub fn traceparent(&self) -> Option<String> {
        let mut carrier = HashMap::new();
        TraceContextPropagator::new().inject_context(&self.context, &mut carrier);
        carrier.remove(TRACEPARENT)
    }

    /// Sets an attribute of the span.
    pub fn set_attribute(&self, name: &'static str, value: String) {
        self.context
            .span()
            .set_attribute(KeyValue::new(name, value));
    }

    /// Ends the span. If there is a `problem`, the span is marked as failed.
    pub fn end(self, problem: Option<String>) {
        if let Some(problem) = problem {
            self.context.span().set_status(Status::error(problem));
        }
        self.context.span().end();
    }
}

/// A request that exports spans, and the channel for its response.
type Job = (
    Request<Bytes>,
    oneshot::Sender<Result<Response<Bytes>, String>>,
);

/// Exports spans with `awc`, on a thread of its own since `awc`'s futures can't move between threads.
#[derive(Debug)]
struct Exporter(mpsc::UnboundedSender<Job>);

impl Exporter {
    fn start() -> Self {
        let (sender, mut jobs) = mpsc::unbounded_channel::<Job>();
        actix_rt::Arbiter::new().spawn_fn(move || {
            actix_rt::spawn(async move {
                let client = awc::Client::default();
                while let Some((request, reply)) = jobs.recv().await {
                    // The exporter may no longer wait for the response.
                    drop(reply.send(send(&client, request).await));
                }
            });
        });
        Self(sender)
    }
}

async fn send(client: &awc::Client, request: Request<Bytes>) -> Result<Response<Bytes>, String> {
    let (parts, body) = request.into_parts();
    let mut post = client.post(parts.uri.to_string());
    for (name, value) in &parts.headers {
        if let Ok(value) = value.to_str() {
            post = post.insert_header((name.as_str(), value));
        }
    }
    let mut response = post
        .send_body(body)
        .await
        .map_err(|error| error.to_string())?;
    let body = response.body().await.map_err(|error| error.to_string())?;
    let status = response.status().as_u16();
    Response::builder()
        .status(status)
        .body(body)
        .map_err(|error| error.to_string())
}

impl HttpClient for Exporter {
    fn send_bytes<'a, 'b>(
        &'a self,
        request: Request<Bytes>,
    ) -> std::pin::Pin<Box<dyn Future<Output = Result<Response<Bytes>, HttpError>> + Send + 'b>>
    where
        'a: 'b,
        Self: 'b,
    {
        Box::pin(async move {
            let (sender, reply) = oneshot::channel();
            self.0
                .send((request, sender))
                .map_err(|_| "the export thread has ended")?;
            let response = reply.await.map_err(|_| "the export thread has ended")?;
            response.map_err(Into::into)
        })
    }
}
