package firwheel.model;

import java.util.List;
import java.util.Objects;

/**
 * One row of the table: a model group or a plain service.
 *
 * @param name unique name of the row
 * @param kind model group or plain service
 * @param models names of the models, or of the services, that the row serves
 * @param availabilityZone zone of the row's hosts
 * @param state state that the operators gave it
 * @param weight share of work relative to other rows, at least 0
 * @param maxInFlight requests that one rank runs at once
 * @param maxQueue requests that wait at one rank
 * @param maxTokensInFlight prompt and output tokens that one rank holds at once
 * @param idempotent whether requests may be run again after an ambiguous failure
 * @param hosts agents of the ranks, ordered by rank
 * @param checksOrders whether the engine checks who gives it an order
 * @param fencesOrders whether the engine refuses an old fencing number
 * @param skewPrice price of one second of step-time skew
 * @param movePrice price of one gibibyte moved by rebalancing
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
            throw new IllegalArgumentException("limits must be positive in row " + name);
        }
    }

    /** Returns whether the row serves {@code servedName} of {@code wantedKind}, whatever its state. */
    public boolean serves(TargetKind wantedKind, String servedName) {
        return kind == wantedKind && models.contains(servedName);
    }

    /** Returns a copy in another state. */
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
