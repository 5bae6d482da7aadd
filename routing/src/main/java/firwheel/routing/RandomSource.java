package firwheel.routing;

import java.util.SplittableRandom;
import java.util.concurrent.ThreadLocalRandom;

/** Source of random numbers; an interface so that benchmarks and tests are repeatable. */
@FunctionalInterface
public interface RandomSource {
    /** Returns 64 random bits. */
    long nextLong();

    /** Returns a number from 0 (inclusive) to {@code bound} (exclusive), which must be positive. */
    default int nextInt(int bound) {
        return (int) (((nextLong() >>> 32) * bound) >>> 32);
    }

    /** Returns a number from 0 (inclusive) to 1 (exclusive). */
    default double nextDouble() {
        return (nextLong() >>> 11) * 0x1.0p-53;
    }

    /** Returns a source that uses the random generator of the calling thread. */
    static RandomSource threadLocal() {
        return () -> ThreadLocalRandom.current().nextLong();
    }

    /** Returns a source whose sequence is determined by {@code seed}. Not thread-safe. */
    static RandomSource seeded(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        return random::nextLong;
    }
}
