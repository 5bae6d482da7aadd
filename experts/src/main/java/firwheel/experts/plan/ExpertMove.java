package firwheel.experts.plan;

/**
 * One expert to be loaded on a rank.
 *
 * @param kind why it is loaded
 * @param expert expert to load
 * @param sourceRank rank that has it, or {@link #WEIGHT_STORE}
 * @param destinationRank rank that loads it
 * @param evictedExpert expert that gives up its slot, or {@link firwheel.experts.ExpertMap#EMPTY}
 */
public record ExpertMove(Kind kind, int layer, int expert, int sourceRank, int destinationRank, int evictedExpert) {
    /** Source of an expert that no reachable rank has. */
    public static final int WEIGHT_STORE = -1;

    /** Returns whether the expert comes from the weight store. */
    public boolean fromStore() {
        return sourceRank == WEIGHT_STORE;
    }

    /** Why an expert is loaded. */
    public enum Kind {
        /** Its last copy is on a dead or leaving rank. */
        EVACUATE,
        /** It gets one more copy. */
        REPLICATE,
        /** It changes places with another. */
        SWAP
    }
}
