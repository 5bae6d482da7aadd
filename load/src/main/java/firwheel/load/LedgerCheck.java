package firwheel.load;

import firwheel.standin.StandInService.LedgerEntry;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Compares the ledgers of the stand-in services with the outcomes that callers observed. Performs no I/O. */
final class LedgerCheck {
    private final Set<String> notRunDigests = new HashSet<>();
    private final Set<String> completeDigests = new HashSet<>();

    /**
     * Result of the comparison.
     *
     * @param executed calls in all ledgers
     * @param doubled bodies executed more than once
     * @param ranThoughNotRun bodies executed although the response stated that they were not
     * @param missing bodies not executed although the response stated that they were
     */
    record Findings(long executed, long doubled, long ranThoughNotRun, long missing) {
        static final Findings NONE = new Findings(0, 0, 0, 0);

        boolean passed() {
            return doubled == 0 && ranThoughNotRun == 0 && missing == 0;
        }
    }

    void recordVerdict(String digest, Verdict verdict) {
        if (verdict == Verdict.NOT_RUN) {
            notRunDigests.add(digest);
        } else if (verdict == Verdict.COMPLETE) {
            completeDigests.add(digest);
        }
    }

    Findings compare(Collection<List<LedgerEntry>> ledgers) {
        Map<String, Integer> counts = new HashMap<>();
        ledgers.forEach(ledger -> ledger.forEach(entry -> counts.merge(entry.digest(), 1, Integer::sum)));
        long executed = counts.values().stream().mapToLong(Integer::longValue).sum();
        long doubled = counts.values().stream().filter(count -> count > 1).count();
        long refusedButExecuted =
                notRunDigests.stream().filter(counts::containsKey).count();
        long missing = completeDigests.stream()
                .filter(digest -> !counts.containsKey(digest))
                .count();
        return new Findings(executed, doubled, refusedButExecuted, missing);
    }
}
