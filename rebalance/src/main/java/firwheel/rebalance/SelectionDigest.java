package firwheel.rebalance;

/**
 * How often each expert was selected in an interval, in one byte per expert. Counts are rounded to multiples of 1/255 of
 * the highest one, which is enough to plan by.
 *
 * @param highestCount highest count of the interval
 * @param levels count of each expert by layer and expert, as an unsigned fraction of the highest count
 */
@SuppressWarnings("ArrayRecordComponent") // not modified after creation
record SelectionDigest(long highestCount, byte[] levels) {
    private static final int MAX_LEVEL = 255;

    /** Returns the digest of the increase between two counts of all experts; counts that fell add nothing. */
    static SelectionDigest ofIncrease(long[] earlier, long[] later) {
        long[] increase = new long[later.length];
        long highest = 0;
        for (int i = 0; i < later.length; i++) {
            increase[i] = Math.max(0, later[i] - earlier[i]);
            highest = Math.max(highest, increase[i]);
        }
        byte[] levels = new byte[later.length];
        for (int i = 0; highest > 0 && i < levels.length; i++) {
            levels[i] = (byte) Math.round(increase[i] * (double) MAX_LEVEL / highest);
        }
        return new SelectionDigest(highest, levels);
    }

    /** Returns the number of experts, over all layers. */
    int size() {
        return levels.length;
    }

    /** Returns the rounded count of an expert. */
    long count(int index) {
        return Math.round(highestCount * (double) Byte.toUnsignedInt(levels[index]) / MAX_LEVEL);
    }
}
