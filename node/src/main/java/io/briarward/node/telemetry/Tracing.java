package io.briarward.node.telemetry;

import com.google.common.base.Ascii;
import io.opentelemetry.api.common.Attributes;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator;
import io.opentelemetry.context.Context;
import io.opentelemetry.context.propagation.TextMapGetter;
import io.opentelemetry.exporter.otlp.http.trace.OtlpHttpSpanExporter;
import io.opentelemetry.sdk.resources.Resource;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor;
import io.vertx.core.MultiMap;
import java.util.Optional;

/**
 * OpenTelemetry tracing with W3C trace context propagation.
 *
 * <p>Without an export endpoint, trace ids are still generated and propagated, but no span is
 * exported. Thread-safe.
 */
public final class Tracing implements AutoCloseable {
  private static final W3CTraceContextPropagator PROPAGATOR =
      W3CTraceContextPropagator.getInstance();
  private static final TextMapGetter<MultiMap> GETTER = new HeaderGetter();

  private final SdkTracerProvider provider;
  private final Tracer tracer;

  private Tracing(SdkTracerProvider provider) {
    this.provider = provider;
    this.tracer = provider.get("briarward");
  }

  /** Returns the tracing of a VM, which exports spans to {@code endpoint} if it is present. */
  public static Tracing create(String vmId, Optional<String> endpoint) {
    Resource resource =
        Resource.create(
            Attributes.builder()
                .put("service.name", "briarward")
                .put("service.instance.id", vmId)
                .build());
    var builder = SdkTracerProvider.builder().setResource(resource);
    endpoint.ifPresent(
        url ->
            builder.addSpanProcessor(
                BatchSpanProcessor.builder(OtlpHttpSpanExporter.builder().setEndpoint(url).build())
                    .build()));
    return new Tracing(builder.build());
  }

  /** Starts the span of an incoming request, a child of the span in its headers if there is one. */
  public Span startServerSpan(String name, MultiMap headers) {
    Context parent = PROPAGATOR.extract(Context.root(), headers, GETTER);
    return tracer.spanBuilder(name).setParent(parent).setSpanKind(SpanKind.SERVER).startSpan();
  }

  /** Starts the span of an outgoing request as a child of {@code parent}. */
  public Span startClientSpan(String name, Span parent) {
    return tracer
        .spanBuilder(name)
        .setParent(Context.root().with(parent))
        .setSpanKind(SpanKind.CLIENT)
        .startSpan();
  }

  /** Sets the headers that propagate the span's context to the receiver. */
  public static void inject(Span span, MultiMap headers) {
    PROPAGATOR.inject(
        Context.root().with(span), headers, (carrier, name, value) -> carrier.set(name, value));
  }

  @Override
  public void close() {
    provider.close();
  }

  private static final class HeaderGetter implements TextMapGetter<MultiMap> {
    @Override
    public Iterable<String> keys(MultiMap carrier) {
      return carrier.names();
    }

    @Override
    public String get(MultiMap carrier, String key) {
      return carrier.get(Ascii.toLowerCase(key));
    }
  }
}
