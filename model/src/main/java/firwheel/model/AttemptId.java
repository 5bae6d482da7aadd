package firwheel.model;

import java.util.Locale;
import java.util.SplittableRandom;
import java.util.function.LongSupplier;

/** Random 128-bit id of one attempt to run a request on one target. */
public record AttemptId(long highBits, long lowBits) {
    /** Returns an id made of two values of {@code randomBits}. */
    public static AttemptId random(LongSupplier randomBits) {
        return new AttemptId(randomBits.getAsLong(), randomBits.getAsLong());
    }

    /** Returns an id made of two values of {@code random}; a seeded generator gives reproducible ids. */
    public static AttemptId random(SplittableRandom random) {
        return random(random::nextLong);
    }

    @Override
    public String toString() {
        return String.format(Locale.ROOT, "%016x%016x", highBits, lowBits);
    }
}
