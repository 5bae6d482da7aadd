package firwheel.experts.plan;

/**
 * Load of one expert onto a rank.
 *
 * @param kind reason for the move
 * @param expert expert to load
 * @param sourceRank rank that the weights are copied from, or {@link #WEIGHT_STORE}
 * @param destinationRank rank that loads the expert
 * @param evictedExpert expert removed from the slot, or {@link firwheel.experts.ExpertMap#EMPTY}
 */
public record ExpertMove(Kind kind, int layer, int expert, int sourceRank, int destinationRank, int evictedExpert) {
    /** Source of an expert that no readable rank holds. */
    public static final int WEIGHT_STORE = -1;

    /** Returns whether the expert is loaded from the weight store. */
    public boolean fromStore() {
        return sourceRank == WEIGHT_STORE;
    }

    /** Reason for a move. */
    public enum Kind {
        /** The last copy of the expert is on a dead or leaving rank. */
        EVACUATE,
        /** The expert gets an additional copy. */
        REPLICATE,
        /** Two experts exchange slots; each is one move. */
        SWAP
    }
}
