package firwheel.admission;

import firwheel.model.AttemptId;
import firwheel.model.ManualTimeSource;
import firwheel.model.ResultCode;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * Event queue in simulated time with the faults of one seed. Records the final results that callers received and the
 * requests that services executed.
 */
final class FaultSimulation {
    private static final int MAX_FAULTS = 3;

    /** Faults that can be combined in one simulation. */
    enum Fault {
        LINK_LOSS,
        AGENT_RESTART,
        ENTRY_KILL,
        ENTRY_PAUSE,
        STORE_RESPONSE_LOST,
        STORE_DOWN,
        FRAMES_DELAYED_DUPLICATED_MISROUTED,
        ENGINE_FAILURE,
        SMALL_RECORD_LIMITS
    }

    /** Deliberate errors that the checks of {@link AtMostOncePropertyTest} must detect. */
    enum Mutation {
        NONE,
        TOMBSTONES_IGNORED,
        UNRESOLVED_CLAIM_IGNORED,
        UNKNOWN_RETRIED,
        CHUNK_ORDER_UNCHECKED,
        EVICTED_TREATED_AS_NOT_RUN,
        OTHER_INCARNATION_TREATED_AS_NOT_RUN
    }

    /** One request; a non-idempotent one must run at most once for each {@code subject}. */
    record Request(int number, String subject, boolean keyed, boolean idempotent, int chunks, long deadlineMillis) {
        String chunk(int index) {
            return subject + ":" + index + ";";
        }

        String expectedBody() {
            StringBuilder response = new StringBuilder();
            for (int i = 0; i < chunks; i++) {
                response.append(chunk(i));
            }
            return response.toString();
        }
    }

    /** Final result of a request; {@code code} is null for a complete response. */
    record FinalResult(Request request, @Nullable ResultCode code, String body) {}

    private record Event(long atMillis, long order, Runnable task) {}

    final ManualTimeSource time = new ManualTimeSource(Instant.EPOCH);
    final SplittableRandom random;
    final Mutation mutation;
    final Set<Fault> faults = EnumSet.noneOf(Fault.class);
    final List<Request> executions = new ArrayList<>();
    final List<FinalResult> finalResults = new ArrayList<>();
    final TreeMap<String, Integer> eventCounts = new TreeMap<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::order));
    private long nextOrder;

    FaultSimulation(long seed, Mutation mutation) {
        this.random = new SplittableRandom(seed);
        this.mutation = mutation;
        Fault[] all = Fault.values();
        int count = random.nextInt(MAX_FAULTS + 1);
        for (int i = 0; i < count; i++) {
            faults.add(all[random.nextInt(all.length)]);
        }
    }

    long nowMillis() {
        return time.monotonicMillis();
    }

    boolean occurs(Fault fault, double probability) {
        return faults.contains(fault) && random.nextDouble() < probability;
    }

    long randomBetween(long low, long high) {
        return random.nextLong(low, high + 1);
    }

    AttemptId newAttemptId() {
        return AttemptId.random(random);
    }

    void countEvent(String eventName) {
        eventCounts.merge(eventName, 1, Integer::sum);
    }

    void schedule(long millis, Runnable task) {
        events.add(new Event(nowMillis() + millis, nextOrder++, task));
    }

    void runUntil(long endMillis) {
        while (!events.isEmpty() && events.peek().atMillis() <= endMillis) {
            Event event = events.remove();
            time.advance(Duration.ofMillis(event.atMillis() - nowMillis()));
            event.task().run();
        }
    }
}
