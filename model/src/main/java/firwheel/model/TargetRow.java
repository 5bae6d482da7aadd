package firwheel.model;

import java.util.List;
import java.util.Objects;

/**
 * One row of the table: a model group or a plain service.
 *
 * @param name unique name of the row
 * @param kind model group or plain service
 * @param models names of the models, or of the services, that the row serves
 * @param availabilityZone availability zone of the row's hosts
 * @param state administrative state set by operators
 * @param weight share of requests relative to other rows, at least 0
 * @param maxInFlight maximum number of requests running at the same time on one rank
 * @param maxQueue maximum number of requests queued at one rank
 * @param maxTokensInFlight maximum number of prompt and output tokens held at the same time by one rank
 * @param idempotent whether a request may be run again after a failure that leaves its outcome unknown
 * @param hosts addresses of the agents of the ranks, ordered by rank
 * @param checksOrders whether the engine verifies who sent an order
 * @param fencesOrders whether the engine rejects orders with an outdated fencing number
 * @param skewPrice cost of one second of step-time skew
 * @param movePrice cost of one gibibyte moved by rebalancing
 */
public record TargetRow(
        String name,
        TargetKind kind,
        List<String> models,
        String availabilityZone,
        RowState state,
        double weight,
        int maxInFlight,
        int maxQueue,
        long maxTokensInFlight,
        boolean idempotent,
        List<RankAddress> hosts,
        boolean checksOrders,
        boolean fencesOrders,
        double skewPrice,
        double movePrice) {

    public TargetRow {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(availabilityZone, "availabilityZone");
        Objects.requireNonNull(state, "state");
        models = List.copyOf(models);
        hosts = List.copyOf(hosts);
        if (!(weight >= 0)) {
            throw new IllegalArgumentException("weight must be at least 0: " + weight);
        }
        if (maxInFlight < 1 || maxQueue < 0 || maxTokensInFlight < 1) {
            throw new IllegalArgumentException(
                    "maxInFlight and maxTokensInFlight must be at least 1 and maxQueue at least 0 in row " + name);
        }
    }

    /** Returns whether the row lists {@code servedName} and is of {@code wantedKind}, regardless of its state. */
    public boolean serves(TargetKind wantedKind, String servedName) {
        return kind == wantedKind && models.contains(servedName);
    }

    /** Returns a copy of the row with the given state. */
    public TargetRow withState(RowState newState) {
        return new TargetRow(
                name,
                kind,
                models,
                availabilityZone,
                newState,
                weight,
                maxInFlight,
                maxQueue,
                maxTokensInFlight,
                idempotent,
                hosts,
                checksOrders,
                fencesOrders,
                skewPrice,
                movePrice);
    }
}
