//! Trace spans. The `traceparent` header carries the trace context from and to other processes.

use opentelemetry::propagation::{Extractor, Injector, TextMapPropagator};
use opentelemetry::trace::{SpanKind, TraceContextExt, Tracer as _, TracerProvider as _};
use opentelemetry::{Context, KeyValue};
use opentelemetry_sdk::error::OTelSdkResult;
use opentelemetry_sdk::propagation::TraceContextPropagator;
use opentelemetry_sdk::trace::{
    Sampler, SdkTracer, SdkTracerProvider, Span, SpanData, SpanExporter,
};
use spdlog::Logger;
use std::sync::Arc;
use std::time::SystemTime;

/// Creates trace spans and exports finished ones as log lines.
pub(crate) struct Tracing {
    provider: SdkTracerProvider,
    tracer: SdkTracer,
    propagator: TraceContextPropagator,
}

impl Tracing {
    /// Creates the tracer of a daemon. Without a logger, spans carry identifiers but are not
    /// exported.
    #[must_use]
    pub(crate) fn new(export_to: Option<Arc<Logger>>, sample_percent: f64) -> Self {
        // If the caller has decided whether its trace is sampled, its decision applies here as
        // well.
        let sampler = Sampler::TraceIdRatioBased(sample_percent / 100.0);
        let sampler = Sampler::ParentBased(Box::new(sampler));
        let mut builder = SdkTracerProvider::builder().with_sampler(sampler);
        if let Some(logger) = export_to {
            builder = builder.with_batch_exporter(LogExporter { logger });
        }
        let provider = builder.build();
        let tracer = provider.tracer("anvilgw");
        Self {
            provider,
            tracer,
            propagator: TraceContextPropagator::new(),
        }
    }

    /// Starts the span of a received request. If the headers carry a trace context, the span is a
    /// child of the caller's span.
    #[must_use]
    pub(crate) fn start_server_span(
        &self,
        name: &'static str,
        headers: &http::HeaderMap,
    ) -> TraceSpan {
        let parent = self.propagator.extract(&HeaderReader(headers));
        self.start(name, SpanKind::Server, &parent)
    }

    /// Starts the span of a request to a backend server, as a child of another span of this daemon.
    #[must_use]
    pub(crate) fn start_client_span(&self, name: &'static str, parent: &TraceSpan) -> TraceSpan {
        self.start(name, SpanKind::Client, &parent.context)
    }

    fn start(&self, name: &'static str, kind: SpanKind, parent: &Context) -> TraceSpan {
        let span: Span = self
            .tracer
            .span_builder(name)
            .with_kind(kind)
            .start_with_context(&self.tracer, parent);
        TraceSpan {
            context: parent.with_span(span),
        }
    }

    /// Returns the `traceparent` value of a request whose spans are to be children of `span`.
    #[must_use]
    pub(crate) fn traceparent(&self, span: &TraceSpan) -> String {
        let mut value = HeaderWriter::default();
        self.propagator.inject_context(&span.context, &mut value);
        value.traceparent
    }

    /// Exports buffered spans and stops the exporter.
    pub(crate) fn shutdown(&self) {
        let _ = self.provider.shutdown();
    }
}

/// A running span. It ends when its last clone is dropped.
#[derive(Clone)]
pub(crate) struct TraceSpan {
    context: Context,
}

impl TraceSpan {
    /// Returns the identifier of the trace as 32 hexadecimal digits.
    #[must_use]
    pub(crate) fn trace_id(&self) -> String {
        self.context.span().span_context().trace_id().to_string()
    }

    /// Sets an attribute of the span.
    pub(crate) fn set_attribute(&self, key: &'static str, value: impl Into<opentelemetry::Value>) {
        self.context.span().set_attribute(KeyValue::new(key, value));
    }

    /// Ends the span now, although clones of it may still be held.
    pub(crate) fn end(&self) {
        self.context.span().end_with_timestamp(SystemTime::now());
    }
}

struct HeaderReader<'a>(&'a http::HeaderMap);

impl Extractor for HeaderReader<'_> {
    fn get(&self, key: &str) -> Option<&str> {
        self.0.get(key).and_then(|value| value.to_str().ok())
    }

    fn keys(&self) -> Vec<&str> {
        self.0.keys().map(http::HeaderName::as_str).collect()
    }
}

#[derive(Default)]
struct HeaderWriter {
    traceparent: String,
}

impl Injector for HeaderWriter {
    fn set(&mut self, key: &str, value: String) {
        if key == "traceparent" {
            self.traceparent = value;
        }
    }
}

#[derive(Debug)]
struct LogExporter {
    logger: Arc<Logger>,
}

impl SpanExporter for LogExporter {
    async fn export(&self, batch: Vec<SpanData>) -> OTelSdkResult {
        for span in batch {
            let duration_us = span
                .end_time
                .duration_since(span.start_time)
                .map_or(0, |duration| duration.as_micros() as u64);
            spdlog::info!(logger: self.logger, "span", kv: {
                name = &*span.name,
                trace_id = span.span_context.trace_id().to_string().as_str(),
                span_id = span.span_context.span_id().to_string().as_str(),
                parent_span_id = span.parent_span_id.to_string().as_str(),
                duration_us,
            });
        }
        Ok(())
    }
}
