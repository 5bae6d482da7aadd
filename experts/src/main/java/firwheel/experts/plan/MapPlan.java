package firwheel.experts.plan;

import firwheel.experts.ExpertMap;
import java.util.List;

/**
 * Result of planning.
 *
 * @param map map after all moves; the current map if there are none
 * @param moves moves in the order in which they should be carried out
 * @param records one record per evaluated layer, for the audit trail
 */
public record MapPlan(ExpertMap map, List<ExpertMove> moves, List<LayerRecord> records) {
    public MapPlan {
        moves = List.copyOf(moves);
        records = List.copyOf(records);
    }

    /**
     * Explains why the moves of a layer were or were not accepted.
     *
     * @param moves experts to load for the best change found for the layer
     * @param skewSecondsBefore predicted skew of this layer without the change, in seconds per step
     * @param skewSecondsAfter predicted skew with the change, in seconds per step
     * @param gain price of the skew avoided over the horizon
     * @param cost price of the moves
     */
    public record LayerRecord(
            int layer,
            Verdict verdict,
            int moves,
            double skewSecondsBefore,
            double skewSecondsAfter,
            double gain,
            double cost) {}

    /** Decision about the best change found for a layer. */
    public enum Verdict {
        /** Accepted: the ratio of gain to cost reaches the minimum. */
        ACCEPTED,
        /** Only experts of dead or leaving ranks are moved, which is done regardless of price. */
        REQUIRED,
        /** No change was found whose ratio of gain to cost reaches the minimum. */
        INSUFFICIENT_GAIN,
        /** The ratio of gain to cost is sufficient, but the round's move limit was reached. */
        OVER_LIMIT,
        /** No slot is free for an expert of a dead or leaving rank. */
        NO_SLOT
    }
}
