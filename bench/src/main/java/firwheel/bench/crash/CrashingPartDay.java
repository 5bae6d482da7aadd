package firwheel.bench.crash;

import java.time.Duration;
import java.util.List;

/**
 * Conditions of a simulated day on which one part of prompts crashes each rank that begins to respond to it.
 *
 * @param name what is special about the day
 * @param entries number of entries
 * @param badPerSecond rate of requests with the part, over all entries
 * @param otherCrashesPerSecond rate of crashes with other causes
 * @param oneSharedPart whether all these requests have the same shared part beside it
 * @param soundBefore whether ranks respond to the part until {@link #BAD_FROM}
 */
public record CrashingPartDay(
        String name,
        int entries,
        double badPerSecond,
        double otherCrashesPerSecond,
        boolean oneSharedPart,
        boolean soundBefore) {
    /** Time from which on the part crashes ranks. */
    public static final Duration BAD_FROM = Duration.ofSeconds(5);

    /** Length of a day. */
    public static final Duration LENGTH = Duration.ofSeconds(60);

    /** Returns days that differ in one respect each. */
    public static List<CrashingPartDay> variants(int entries) {
        return List.of(
                new CrashingPartDay("one request a second", entries, 1, 0, false, false),
                new CrashingPartDay("five requests a second", entries, 5, 0, false, false),
                new CrashingPartDay("the same shared part beside it", entries, 1, 0, true, false),
                new CrashingPartDay("sound before", entries, 2, 0, true, true),
                new CrashingPartDay("other crashes", entries, 1, 0.1, false, false),
                new CrashingPartDay("other crashes, the same shared part", entries, 3, 0.1, true, false));
    }

    /** Returns days on which no part crashes ranks. */
    public static List<CrashingPartDay> soundVariants(int entries) {
        return List.of(
                new CrashingPartDay("no such part, a crash in 20 s", entries, 0, 0.05, false, false),
                new CrashingPartDay("no such part, a crash in 10 s", entries, 0, 0.1, false, false),
                new CrashingPartDay("no such part, a crash in 5 s", entries, 0, 0.2, false, false));
    }
}
