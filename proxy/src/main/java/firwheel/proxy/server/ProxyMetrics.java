package firwheel.proxy.server;

import firwheel.model.ResultCode;
import firwheel.proxy.balance.HeldRequests;
import firwheel.proxy.memory.HeldBytes;
import firwheel.proxy.targets.TargetDirectory;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Locale;

/** Counters and latency histograms of an entry. Label values are never taken from requests. */
public final class ProxyMetrics {
    private static final double[] LATENCY_BOUNDS_SECONDS = {0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2, 4, 8};

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Counter responses = Counter.builder()
            .name("firwheel_answers")
            .help("Answers passed on to callers, by kind of request and outcome.")
            .labelNames("kind", "outcome")
            .register(registry);
    private final Counter errorResponses = Counter.builder()
            .name("firwheel_refusals")
            .help("Answers of this entry's own, by result code.")
            .labelNames("code")
            .register(registry);
    private final Counter retries = Counter.builder()
            .name("firwheel_repeats")
            .help("Requests sent to another target, by reason.")
            .labelNames("reason")
            .register(registry);
    private final Counter waits = Counter.builder()
            .name("firwheel_group_waits")
            .help("Requests that waited for a group to open, by how the wait ended.")
            .labelNames("end")
            .register(registry);
    private final Counter failedSteps = Counter.builder()
            .name("firwheel_failed_steps")
            .help("Steps of requests that threw an exception, after which the request was ended.")
            .register(registry);
    private final Histogram firstByte = Histogram.builder()
            .name("firwheel_first_byte_seconds")
            .help("Time to the first byte of the answer, by kind of request.")
            .labelNames("kind")
            .classicOnly()
            .classicUpperBounds(LATENCY_BOUNDS_SECONDS)
            .register(registry);
    private final Gauge inFlight = Gauge.builder()
            .name("firwheel_requests_in_flight")
            .help("Requests that have arrived and are not answered.")
            .register(registry);
    private final Gauge configVersion = Gauge.builder()
            .name("firwheel_config_version")
            .help("Version of the configuration in force.")
            .register(registry);

    /** Returns the registry that contains the metrics. */
    public PrometheusRegistry registry() {
        return registry;
    }

    void register(
            TargetConnectionPool connections,
            TargetDirectory directory,
            HeldBytes heldBytes,
            CrashGuard crashGuard,
            PartGuard partGuard) {
        GaugeWithCallback.builder()
                .name("firwheel_held_bytes")
                .help("Bytes kept for callers and targets.")
                .callback(callback -> callback.call((double) heldBytes.total()))
                .register(registry);
        GaugeWithCallback.builder()
                .name("firwheel_held_bytes_peak")
                .help("Highest number of bytes kept for callers and targets at a time.")
                .callback(callback -> callback.call((double) heldBytes.peak()))
                .register(registry);
        GaugeWithCallback.builder()
                .name("firwheel_held_bytes_limit")
                .help("Bytes above which what keeps most gives way.")
                .callback(callback -> callback.call((double) heldBytes.limitBytes()))
                .register(registry);
        CounterWithCallback.builder()
                .name("firwheel_held_bytes_given_up")
                .help("How often what kept most bytes gave way, by what they were kept for.")
                .labelNames("kind")
                .callback(callback -> {
                    for (HeldBytes.Kind kind : HeldBytes.Kind.values()) {
                        callback.call(
                                (double) heldBytes.givenUp(kind), kind.name().toLowerCase(Locale.ROOT));
                    }
                })
                .register(registry);
        GaugeWithCallback.builder()
                .name("firwheel_requests_suspected")
                .help("Requests under which targets have crashed, until they are cleared or forgotten.")
                .callback(callback -> callback.call(crashGuard.suspectedRequests()))
                .register(registry);
        GaugeWithCallback.builder()
                .name("firwheel_prompt_parts_suspected")
                .help("Parts of prompts under which targets have crashed, until they are cleared or forgotten.")
                .callback(callback -> callback.call(partGuard.suspectedParts()))
                .register(registry);
        GaugeWithCallback.builder()
                .name("firwheel_prompt_parts_refused")
                .help("Parts of prompts, alone or together, for which requests are refused.")
                .callback(callback -> callback.call(partGuard.refusals()))
                .register(registry);
        CounterWithCallback.builder()
                .name("firwheel_target_connections_opened")
                .help("Connections opened to targets.")
                .callback(callback -> callback.call((double) connections.openedCount()))
                .register(registry);
        CounterWithCallback.builder()
                .name("firwheel_target_extra_responses")
                .help("Responses of targets that belong to no request in progress.")
                .callback(callback -> callback.call((double) connections.extraResponseCount()))
                .register(registry);
        CounterWithCallback.builder()
                .name("firwheel_target_malformed_responses")
                .help("Bytes of targets that are not one response.")
                .callback(callback -> callback.call((double) connections.malformedResponseCount()))
                .register(registry);
        GaugeWithCallback.builder()
                .name("firwheel_targets_known")
                .help("Targets in the registry, those that leave included.")
                .callback(callback -> callback.call(directory.all().size()))
                .register(registry);
    }

    void countResponse(String kind, String outcome) {
        responses.labelValues(kind, outcome).inc();
    }

    void countErrorResponse(ResultCode code) {
        errorResponses.labelValues(code.label()).inc();
    }

    void countFailedStep() {
        failedSteps.inc();
    }

    void countRetry(String reason) {
        retries.labelValues(reason).inc();
    }

    void countWait(HeldRequests.End end) {
        waits.labelValues(end.name().toLowerCase(Locale.ROOT)).inc();
    }

    void recordFirstByte(String kind, double seconds) {
        firstByte.labelValues(kind).observe(seconds);
    }

    void setInFlight(int count) {
        inFlight.set(count);
    }

    void setConfigVersion(long version) {
        configVersion.set((double) version);
    }
}
