package firwheel.routing;

import java.util.SplittableRandom;
import java.util.concurrent.ThreadLocalRandom;

/** Source of random bits; behind an interface so that benchmarks and tests repeat. */
@FunctionalInterface
public interface RandomBits {
    /** Returns 64 random bits. */
    long next();

    /** Returns a number from 0 up to {@code bound}, which must be positive. */
    default int below(int bound) {
        return (int) (((next() >>> 32) * bound) >>> 32);
    }

    /** Returns a number from 0 up to 1. */
    default double unit() {
        return (next() >>> 11) * 0x1.0p-53;
    }

    /** Returns the generator of the calling thread. */
    static RandomBits ofThread() {
        return () -> ThreadLocalRandom.current().nextLong();
    }

    /** Returns a generator that repeats for one seed. Not thread-safe. */
    static RandomBits seeded(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        return random::nextLong;
    }
}
