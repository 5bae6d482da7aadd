package firwheel.entry;

import firwheel.model.Outcome;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/** Metrics of one entry. */
final class EntryMetrics {
    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Counter responses = Counter.builder()
            .name("firwheel_entry_answers_total")
            .help("Answers to callers, by outcome and code")
            .labelNames("outcome", "code")
            .register(registry);
    private final Counter droppedFrames = Counter.builder()
            .name("firwheel_entry_foreign_frames_total")
            .help("Frames dropped because no open attempt asked for them")
            .register(registry);

    private final Counter failedSteps = Counter.builder()
            .name("firwheel_entry_failed_steps_total")
            .help("Steps of requests that threw an exception, after which the request was ended")
            .register(registry);

    PrometheusRegistry registry() {
        return registry;
    }

    void countResponse(Outcome outcome, String code) {
        responses.labelValues(outcome.label(), code).inc();
    }

    void countFailedStep() {
        failedSteps.inc();
    }

    void countDroppedFrame() {
        droppedFrames.inc();
    }
}
