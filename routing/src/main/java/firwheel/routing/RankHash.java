package firwheel.routing;

import firwheel.model.RankKey;
import net.openhft.hashing.LongHashFunction;

/** Hashes of ranks that are the same on every host. */
final class RankHash {
    private static final LongHashFunction HASH = LongHashFunction.xx3();

    private RankHash() {}

    /** Returns the hash of point number {@code replica} of a rank. */
    static long hash(RankKey key, int replica) {
        return HASH.hashLongs(new long[] {HASH.hashChars(key.row()), key.rank(), replica});
    }
}
