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
 * Property test of the real admission controller, attempt records, streams, request lifecycle and claims under random
 * schedules of faults: every result given to a caller is correct, and a non-idempotent request runs at most once. The
 * number of seeds is set by {@code -Dfirwheel.seeds=20000}; a single seed is run by {@code -Dfirwheel.seed=17}.
 */
final class AtMostOncePropertyTest {
    private static final int SEEDS = Integer.getInteger("firwheel.seeds", 2000);
    private static final int MAX_MUTATION_SEEDS = 20_000;
    private static final long END_MILLIS = 30_000;
    private static final int AGENTS = 3;
    private static final int SUBJECTS = 8;

    @Test
    void everyResultIsCorrectAndNonIdempotentRequestsRunAtMostOnce() {
        TreeMap<String, Integer> eventCounts = new TreeMap<>();
        Long oneSeed = Long.getLong("firwheel.seed");
        long first = oneSeed == null ? 0 : oneSeed;
        long last = oneSeed == null ? SEEDS : oneSeed + 1;
        for (long seed = first; seed < last; seed++) {
            Run run = new Run(seed, FaultSimulation.Mutation.NONE);
            assertThat(run.violations())
                    .as("seed %d, faults %s", seed, run.simulation.faults)
                    .isEmpty();
            run.simulation.eventCounts.forEach((eventName, count) -> eventCounts.merge(eventName, count, Integer::sum));
        }
        if (oneSeed == null) {
            assertThat(eventCounts)
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
                            "store response lost",
                            "stream MISSING_CHUNKS",
                            "Duplicate");
            assertThat(eventCounts.getOrDefault("result complete", 0))
                    .isGreaterThan(eventCounts.getOrDefault("result", 0) / 2);
        }
    }

    @ParameterizedTest
    @EnumSource(value = FaultSimulation.Mutation.class, mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void checksDetectEachMutation(FaultSimulation.Mutation mutation) {
        boolean detected = false;
        for (long seed = 0; seed < MAX_MUTATION_SEEDS && !detected; seed++) {
            detected = !new Run(seed, mutation).violations().isEmpty();
        }
        assertThat(detected).as("mutation %s is detected", mutation).isTrue();
    }

    private static final class Run {
        private final FaultSimulation simulation;
        private final List<FaultSimulation.Request> requests = new ArrayList<>();
        private final Map<FaultSimulation.Request, FaultyEntry> entryOf = new HashMap<>();

        Run(long seed, FaultSimulation.Mutation mutation) {
            simulation = new FaultSimulation(seed, mutation);
            FaultyStore store = new FaultyStore(simulation);
            List<FaultyAgent> agents = new ArrayList<>();
            for (int i = 0; i < AGENTS; i++) {
                agents.add(new FaultyAgent(simulation));
            }
            List<FaultyEntry> entries =
                    List.of(new FaultyEntry(simulation, agents, store), new FaultyEntry(simulation, agents, store));
            for (int subject = 0; subject < SUBJECTS; subject++) {
                submit(subject, entries);
            }
            simulation.runUntil(END_MILLIS);
        }

        private void submit(int subject, List<FaultyEntry> entries) {
            boolean keyed = subject % 2 == 0;
            boolean idempotent = subject % 4 == 1;
            int chunks = (int) simulation.randomBetween(1, idempotent ? 12 : 3);
            int repeats = keyed ? (int) simulation.randomBetween(1, 4) : 1;
            for (int i = 0; i < repeats; i++) {
                long startMillis = simulation.randomBetween(0, 2000);
                FaultSimulation.Request request = new FaultSimulation.Request(
                        requests.size(),
                        "s" + subject,
                        keyed,
                        idempotent,
                        chunks,
                        startMillis + simulation.randomBetween(50, 4000));
                FaultyEntry entry = entries.get(simulation.random.nextInt(entries.size()));
                requests.add(request);
                entryOf.put(request, entry);
                simulation.schedule(startMillis, () -> entry.submit(request));
            }
        }

        List<String> violations() {
            List<String> problems = new ArrayList<>();
            Map<String, Integer> runsOfSubject = new HashMap<>();
            Map<FaultSimulation.Request, Integer> resultCounts = new HashMap<>();
            simulation.executions.forEach(request -> runsOfSubject.merge(request.subject(), 1, Integer::sum));
            for (FaultSimulation.FinalResult result : simulation.finalResults) {
                resultCounts.merge(result.request(), 1, Integer::sum);
                checkResult(result, problems);
            }
            for (FaultSimulation.Request request : requests) {
                int runs = runsOfSubject.getOrDefault(request.subject(), 0);
                if (!request.idempotent() && runs > 1) {
                    problems.add(request + " ran " + runs + " times");
                }
                int results = resultCounts.getOrDefault(request, 0);
                if (results > 1 || (results == 0 && !entry(request).killed())) {
                    problems.add(request + " has " + results + " final results");
                }
            }
            return problems;
        }

        private void checkResult(FaultSimulation.FinalResult result, List<String> problems) {
            simulation.countEvent("result");
            simulation.countEvent("result " + (result.code() == null ? "complete" : result.code()));
            boolean ran = simulation.executions.contains(result.request());
            if (result.code() == null && !result.body().equals(result.request().expectedBody())) {
                problems.add(result + " is incomplete or wrong");
            }
            if (result.code() != null && result.code().outcome() == Outcome.NOT_RUN && ran) {
                problems.add(result + " reported as not run, but it ran");
            }
        }

        private FaultyEntry entry(FaultSimulation.Request request) {
            return Objects.requireNonNull(entryOf.get(request));
        }
    }
}
