package firwheel.admission;

import firwheel.model.AttemptId;
import firwheel.model.ManualTimeSource;
import firwheel.model.Priority;
import firwheel.model.ResultCode;
import firwheel.model.RowState;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Admission controller in simulated time that records the calls to its listener. */
final class AdmissionFixture implements AdmissionListener {
    static final long INCARNATION = 7;

    final ManualTimeSource time = new ManualTimeSource(Instant.EPOCH);
    final List<AttemptId> started = new ArrayList<>();
    final Map<AttemptId, ResultCode> refused = new LinkedHashMap<>();
    final AttemptRecords records;
    final AdmissionController controller;
    private long nextId;

    AdmissionFixture(int maxInFlight, int maxQueue) {
        this(maxInFlight, maxQueue, RecordLimits.DEFAULT);
    }

    AdmissionFixture(int maxInFlight, int maxQueue, RecordLimits recordLimits) {
        records = new AttemptRecords(recordLimits);
        controller = new AdmissionController(
                INCARNATION, RowState.SERVING, limits(maxInFlight, maxQueue), records, 1 << 16, time, this);
    }

    static AdmissionLimits limits(int maxInFlight, int maxQueue) {
        return new AdmissionLimits(maxInFlight, maxQueue, 100_000, 1 << 20, Duration.ofSeconds(30));
    }

    AttemptDescriptor attempt(String organisation) {
        return attempt(organisation, Priority.NORMAL, 100, 60_000);
    }

    AttemptDescriptor attempt(String organisation, Priority priority, int tokens, long deadlineInMillis) {
        long now = time.monotonicMillis();
        AttemptId id = new AttemptId(0, nextId++);
        return new AttemptDescriptor(
                id, INCARNATION, organisation, priority, tokens, 10, now + 5000, now + deadlineInMillis);
    }

    ResultCode codeOf(AdmissionDecision decision) {
        return ((AdmissionDecision.Refused) decision).code();
    }

    void advanceMillis(long millis) {
        time.advance(Duration.ofMillis(millis));
    }

    @Override
    public void onStarted(AttemptDescriptor attempt) {
        started.add(attempt.id());
    }

    @Override
    public void onRefused(AttemptDescriptor attempt, ResultCode code, Duration retryAfter) {
        refused.put(attempt.id(), code);
    }
}
