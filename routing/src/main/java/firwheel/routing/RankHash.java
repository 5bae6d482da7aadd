package firwheel.routing;

import firwheel.model.RankKey;
import net.openhft.hashing.LongHashFunction;

/** Hashes of ranks for the consistent-hash ring; identical on every host. */
final class RankHash {
    private static final LongHashFunction HASH = LongHashFunction.xx3();

    private RankHash() {}

    /** Returns the ring position of virtual node {@code replica} of a rank. */
    static long hash(RankKey key, int replica) {
        return HASH.hashLongs(new long[] {HASH.hashChars(key.row()), key.rank(), replica});
    }
}
