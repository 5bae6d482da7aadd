package firwheel.admission;

import static org.assertj.core.api.Assertions.assertThat;

import firwheel.model.Outcome;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Random schedules of faults against the real gate, records, streams, lifecycle and claims. More seeds: {@code
 * -Dfirwheel.seeds=20000}; one seed: {@code -Dfirwheel.seed=17}.
 */
final class AtMostOncePropertyTest {
    private static final int SEEDS = Integer.getInteger("firwheel.seeds", 2000);
    private static final int MAX_MUTATION_SEEDS = 20_000;
    private static final long END_MILLIS = 30_000;
    private static final int AGENTS = 3;
    private static final int SUBJECTS = 8;

    @Test
    void everyAnswerIsTrueAndEveryBookingRunsAtMostOnce() {
        TreeMap<String, Integer> seen = new TreeMap<>();
        Long oneSeed = Long.getLong("firwheel.seed");
        long first = oneSeed == null ? 0 : oneSeed;
        long last = oneSeed == null ? SEEDS : oneSeed + 1;
        for (long seed = first; seed < last; seed++) {
            Run run = new Run(seed, FaultWorld.Mutation.NONE);
            assertThat(run.violations())
                    .as("seed %d, faults %s", seed, run.world.faults)
                    .isEmpty();
            run.world.seen.forEach((what, count) -> seen.merge(what, count, Integer::sum));
        }
        if (oneSeed == null) {
            assertThat(seen)
                    .containsKeys(
                            "agent restarted",
                            "claim CLAIM_STORE_DOWN",
                            "claim CLAIM_UNRESOLVED",
                            "claim IN_PROGRESS",
                            "claim Recorded",
                            "fence Ended",
                            "fence NeverAdmitted",
                            "fence Running",
                            "fence Unknown",
                            "refused RECORD_EVICTED",
                            "refused FENCED",
                            "refused SATURATED",
                            "refused WRONG_INCARNATION",
                            "resumed",
                            "store answer lost",
                            "stream MISSING_CHUNKS",
                            "Duplicate");
            assertThat(seen.getOrDefault("told complete", 0)).isGreaterThan(seen.getOrDefault("told", 0) / 2);
        }
    }

    @ParameterizedTest
    @EnumSource(value = FaultWorld.Mutation.class, mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void theOraclesFindEachDeliberateError(FaultWorld.Mutation mutation) {
        boolean caught = false;
        for (long seed = 0; seed < MAX_MUTATION_SEEDS && !caught; seed++) {
            caught = !new Run(seed, mutation).violations().isEmpty();
        }
        assertThat(caught).as("%s is caught", mutation).isTrue();
    }

    private static final class Run {
        private final FaultWorld world;
        private final List<FaultWorld.Request> requests = new ArrayList<>();
        private final Map<FaultWorld.Request, FaultyEntry> entryOf = new HashMap<>();

        Run(long seed, FaultWorld.Mutation mutation) {
            world = new FaultWorld(seed, mutation);
            FaultyStore store = new FaultyStore(world);
            List<FaultyAgent> agents = new ArrayList<>();
            for (int i = 0; i < AGENTS; i++) {
                agents.add(new FaultyAgent(world));
            }
            List<FaultyEntry> entries =
                    List.of(new FaultyEntry(world, agents, store), new FaultyEntry(world, agents, store));
            for (int subject = 0; subject < SUBJECTS; subject++) {
                submit(subject, entries);
            }
            world.runUntil(END_MILLIS);
        }

        private void submit(int subject, List<FaultyEntry> entries) {
            boolean keyed = subject % 2 == 0;
            boolean idempotent = subject % 4 == 1;
            int chunks = (int) world.between(1, idempotent ? 12 : 3);
            int repeats = keyed ? (int) world.between(1, 4) : 1;
            for (int i = 0; i < repeats; i++) {
                long startMillis = world.between(0, 2000);
                FaultWorld.Request request = new FaultWorld.Request(
                        requests.size(),
                        "s" + subject,
                        keyed,
                        idempotent,
                        chunks,
                        startMillis + world.between(50, 4000));
                FaultyEntry entry = entries.get(world.random.nextInt(entries.size()));
                requests.add(request);
                entryOf.put(request, entry);
                world.after(startMillis, () -> entry.submit(request));
            }
        }

        List<String> violations() {
            List<String> found = new ArrayList<>();
            Map<String, Integer> runsOfSubject = new HashMap<>();
            Map<FaultWorld.Request, Integer> answers = new HashMap<>();
            world.ledger.forEach(request -> runsOfSubject.merge(request.subject(), 1, Integer::sum));
            for (FaultWorld.Told told : world.told) {
                answers.merge(told.request(), 1, Integer::sum);
                checkAnswer(told, found);
            }
            for (FaultWorld.Request request : requests) {
                int runs = runsOfSubject.getOrDefault(request.subject(), 0);
                if (!request.idempotent() && runs > 1) {
                    found.add(request + " ran " + runs + " times");
                }
                int answered = answers.getOrDefault(request, 0);
                if (answered > 1 || (answered == 0 && !entry(request).killed())) {
                    found.add(request + " has " + answered + " final answers");
                }
            }
            return found;
        }

        private void checkAnswer(FaultWorld.Told told, List<String> found) {
            world.saw("told");
            world.saw("told " + (told.code() == null ? "complete" : told.code()));
            boolean ran = world.ledger.contains(told.request());
            if (told.code() == null && !told.bytes().equals(told.request().wholeAnswer())) {
                found.add(told + " is not whole");
            }
            if (told.code() != null && told.code().outcome() == Outcome.NOT_RUN && ran) {
                found.add(told + " but it ran");
            }
        }

        private FaultyEntry entry(FaultWorld.Request request) {
            return Objects.requireNonNull(entryOf.get(request));
        }
    }
}
