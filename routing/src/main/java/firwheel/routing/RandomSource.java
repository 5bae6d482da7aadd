package firwheel.routing;

import java.util.SplittableRandom;
import java.util.concurrent.ThreadLocalRandom;

/** Source of random bits; behind an interface so that benchmarks and tests repeat. */
@FunctionalInterface
public interface RandomSource {
    /** Returns 64 random bits. */
    long nextLong();

    /** Returns a number from 0 up to {@code bound}, which must be positive. */
    default int nextInt(int bound) {
        return (int) (((nextLong() >>> 32) * bound) >>> 32);
    }

    /** Returns a number from 0 up to 1. */
    default double nextDouble() {
        return (nextLong() >>> 11) * 0x1.0p-53;
    }

    /** Returns the generator of the calling thread. */
    static RandomSource threadLocal() {
        return () -> ThreadLocalRandom.current().nextLong();
    }

    /** Returns a generator that repeats for one seed. Not thread-safe. */
    static RandomSource seeded(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        return random::nextLong;
    }
}
