package firwheel.admission;

import static org.assertj.core.api.Assertions.assertThat;

import firwheel.model.AttemptId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Fairness between a large organisation that floods the target and a small one, in simulated time. */
final class FairShareTest {
    private static final int SLOTS = 16;
    private static final int SERVICE_MILLIS = 200;
    private static final int BURST_INTERVAL_MILLIS = 4000;
    private static final int RUN_MILLIS = 120_000;

    @ParameterizedTest
    @ValueSource(ints = {32, 48, 64, 96})
    void burstsOfASmallOrganisationWaitAtMostTwiceAsLongAsWithoutFlood(int burst) {
        long alone = new Run(burst, 0, 1).p95WaitMillis();
        long flooded = new Run(burst, 240, 1).p95WaitMillis();
        assertThat(flooded).isLessThanOrEqualTo(2 * alone);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 4, 8})
    void sparseRequestsOfASmallOrganisationTakeAtMostTwiceAsLongAsWithoutFlood(int burst) {
        long alone = new Run(burst, 0, 2).p95WaitMillis() + SERVICE_MILLIS;
        long flooded = new Run(burst, 240, 2).p95WaitMillis() + SERVICE_MILLIS;
        assertThat(flooded).isLessThanOrEqualTo(2 * alone);
    }

    /** One simulation; a flood of 240 requests per second is three times the capacity of the target. */
    private static final class Run {
        private final AdmissionFixture fixture = new AdmissionFixture(SLOTS, 400);
        private final SplittableRandom random;
        private final PriorityQueue<long[]> endings = new PriorityQueue<>((a, b) -> Long.compare(a[0], b[0]));
        private final Map<Long, Long> arrivals = new HashMap<>();
        private final List<Long> smallWaits = new ArrayList<>();
        private final int burst;
        private final int floodPerSecond;

        Run(int burst, int floodPerSecond, long seed) {
            this.burst = burst;
            this.floodPerSecond = floodPerSecond;
            this.random = new SplittableRandom(seed);
        }

        long p95WaitMillis() {
            for (long now = 0; now < RUN_MILLIS; now++) {
                step(now);
                fixture.advanceMillis(1);
            }
            long[] sorted =
                    smallWaits.stream().mapToLong(Long::longValue).sorted().toArray();
            assertThat(sorted.length).isGreaterThanOrEqualTo(burst * (RUN_MILLIS / BURST_INTERVAL_MILLIS - 1));
            return sorted[(int) Math.ceil(0.95 * sorted.length) - 1];
        }

        private void step(long now) {
            while (!endings.isEmpty() && endings.peek()[0] <= now) {
                fixture.controller.finish(new AttemptId(0, endings.remove()[1]), null);
                recordStarted(now);
            }
            if (random.nextInt(1000) < floodPerSecond) {
                offer("large", now);
            }
            if (now % BURST_INTERVAL_MILLIS == BURST_INTERVAL_MILLIS / 2) {
                for (int i = 0; i < burst; i++) {
                    offer("small", now);
                }
            }
        }

        private void offer(String organisation, long now) {
            AttemptDescriptor attempt = fixture.attempt(organisation);
            if (organisation.equals("small")) {
                arrivals.put(attempt.id().lowBits(), now);
            }
            AdmissionDecision decision = fixture.controller.offer(attempt);
            if (decision instanceof AdmissionDecision.Admitted) {
                begin(attempt.id(), now);
            }
            if (organisation.equals("small")) {
                assertThat(decision).isNotInstanceOf(AdmissionDecision.Refused.class);
            }
        }

        private void recordStarted(long now) {
            fixture.started.forEach(id -> begin(id, now));
            fixture.started.clear();
        }

        private void begin(AttemptId id, long now) {
            int jitterMillis = random.nextInt(SERVICE_MILLIS / 2) - SERVICE_MILLIS / 4;
            endings.add(new long[] {now + SERVICE_MILLIS + jitterMillis, id.lowBits()});
            Long arrived = arrivals.remove(id.lowBits());
            if (arrived != null) {
                smallWaits.add(now - arrived);
            }
        }
    }
}
