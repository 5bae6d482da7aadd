package firwheel.experts.plan;

import firwheel.experts.ExpertMap;
import java.util.List;

/**
 * Outcome of a planning round.
 *
 * @param map map after all moves; the present one where there are none
 * @param moves moves in the order of their worth
 * @param records one record for each layer that was weighed, for the audit trail
 */
public record MapPlan(ExpertMap map, List<ExpertMove> moves, List<LayerRecord> records) {
    public MapPlan {
        moves = List.copyOf(moves);
        records = List.copyOf(records);
    }

    /**
     * Why the moves of a layer were or were not worth it.
     *
     * @param moves experts to load for the best found change of the layer
     * @param skewSecondsBefore predicted skew of a step in this layer without the change
     * @param skewSecondsAfter predicted skew with it
     * @param gain price of the skew saved over the horizon
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

    /** What became of a layer's best change. */
    public enum Verdict {
        /** Its gain exceeds its cost by the wanted ratio. */
        ACCEPTED,
        /** Experts of dead or leaving ranks were placed; the price did not matter. */
        REQUIRED,
        /** No change was found whose gain exceeds its cost by the wanted ratio. */
        INSUFFICIENT_GAIN,
        /** Worth it, but the round's bound on moves was reached. */
        OVER_LIMIT,
        /** Experts of a dead or leaving rank fit nowhere. */
        NO_SLOT
    }
}
