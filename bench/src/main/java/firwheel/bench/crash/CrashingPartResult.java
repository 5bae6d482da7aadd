package firwheel.bench.crash;

import java.util.List;
import java.util.Locale;

/**
 * Outcome of one simulated day.
 *
 * @param crashes crashes under the part
 * @param lateArrivals requests with the part that reached ranks later than the contact time after the fifth crash
 * @param sound requests without the part, from twice the contact time after the fifth crash on, or the last if there are
 *     fewer; all of the day if there is none
 * @param soundRefused those of them that were refused
 * @param datagramsPerEntry datagrams that each entry received, on average
 */
public record CrashingPartResult(int crashes, int lateArrivals, int sound, int soundRefused, double datagramsPerEntry) {
    /** Returns the heading of a table of rows. */
    static String heading() {
        return "| day | seeds | crashes, mean | most | late arrivals, most | sound requests refused, share"
                + " | datagrams an entry, mean |\n|---|---|---|---|---|---|---|";
    }

    /** Returns a row of the table with the results of several days. */
    static String row(CrashingPartDay day, List<CrashingPartResult> results) {
        return String.format(
                Locale.ROOT,
                "| %s | %d | %.2f | %d | %d | %.5f | %.0f |",
                day.name(),
                results.size(),
                results.stream().mapToInt(CrashingPartResult::crashes).average().orElse(0),
                results.stream().mapToInt(CrashingPartResult::crashes).max().orElse(0),
                results.stream()
                        .mapToInt(CrashingPartResult::lateArrivals)
                        .max()
                        .orElse(0),
                results.stream().mapToInt(CrashingPartResult::soundRefused).sum()
                        / (double) results.stream()
                                .mapToInt(CrashingPartResult::sound)
                                .sum(),
                results.stream()
                        .mapToDouble(CrashingPartResult::datagramsPerEntry)
                        .average()
                        .orElse(0));
    }
}
