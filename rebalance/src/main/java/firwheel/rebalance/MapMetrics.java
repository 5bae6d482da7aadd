package firwheel.rebalance;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/** Metrics of the expert map of a group. Only the controller of the group updates the values of the map. */
public final class MapMetrics {
    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Gauge controlling = Gauge.builder()
            .name("firwheel_map_controlling")
            .help("1 on the agent that controls the map of its group, else 0.")
            .register(registry);
    private final Gauge version = Gauge.builder()
            .name("firwheel_map_version")
            .help("Version of the expert map in force.")
            .register(registry);
    private final Gauge groupEpoch = Gauge.builder()
            .name("firwheel_map_group_epoch")
            .help("Number of the group's present formation.")
            .register(registry);
    private final Gauge imbalance = Gauge.builder()
            .name("firwheel_map_imbalance")
            .help("Work of the most loaded rank over the mean, by the demand measured last; 1 is even.")
            .register(registry);
    private final Counter rollouts = Counter.builder()
            .name("firwheel_map_rollouts")
            .help("Maps that were rolled out, by outcome.")
            .labelNames("outcome")
            .register(registry);

    private final Counter faults = Counter.builder()
            .name("firwheel_map_faults")
            .help("States of the group in which ranks use different maps, or could soon; each is repaired.")
            .labelNames("kind")
            .register(registry);
    private final Counter readings = Counter.builder()
            .name("firwheel_map_readings")
            .help("Readings of all ranks of the group, by outcome.")
            .labelNames("outcome")
            .register(registry);
    private final Gauge readSeconds = Gauge.builder()
            .name("firwheel_map_read_seconds")
            .help("Duration of the last reading of all ranks of the group.")
            .register(registry);

    /** Returns the registry that holds the metrics. */
    public PrometheusRegistry registry() {
        return registry;
    }

    void setControlling(boolean controls) {
        controlling.set(controls ? 1 : 0);
    }

    void setMap(long mapVersion, long epoch, double measuredImbalance) {
        version.set((double) mapVersion);
        groupEpoch.set((double) epoch);
        imbalance.set(measuredImbalance);
    }

    void countRollout(boolean switched) {
        rollouts.labelValues(switched ? "switched" : "called-off").inc();
    }

    void countFault(String kind) {
        faults.labelValues(kind).inc();
    }

    void countReading(String outcome, double seconds) {
        readings.labelValues(outcome).inc();
        readSeconds.set(seconds);
    }
}
