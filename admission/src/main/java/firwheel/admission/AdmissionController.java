package firwheel.admission;

import firwheel.model.AttemptId;
import firwheel.model.ResultCode;
import firwheel.model.RowState;
import firwheel.model.TimeSource;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Admission control of one agent: admits, queues or refuses each attempt before it reaches the engine or service, and
 * records the decision. An attempt refused as not run never runs in this process, even if the same frame is received
 * again. Not thread-safe; the agent calls it on one thread.
 */
public final class AdmissionController {
    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(100);

    private final long incarnation;
    private final AttemptRecords records;
    private final TimeSource time;
    private final AdmissionListener listener;
    private final int maxStreamBytes;
    private final FairQueue queue;
    private final ServiceTimeEstimator serviceTimeEstimator = new ServiceTimeEstimator();
    private final Map<AttemptId, RunningAttempt> running = new HashMap<>();
    private AdmissionLimits limits;
    private RowState rowState;
    private boolean draining;
    private long tokensInFlight;

    /**
     * Creates a controller with no attempts.
     *
     * @param incarnation random number that identifies this agent process
     * @param maxStreamBytes size of the buffer of each stream, in bytes
     */
    public AdmissionController(
            long incarnation,
            RowState rowState,
            AdmissionLimits limits,
            AttemptRecords records,
            int maxStreamBytes,
            TimeSource time,
            AdmissionListener listener) {
        this.incarnation = incarnation;
        this.rowState = rowState;
        this.limits = limits;
        this.records = records;
        this.maxStreamBytes = maxStreamBytes;
        this.time = time;
        this.listener = listener;
        this.queue = new FairQueue(limits.maxTokensInFlight());
    }

    /** Admits, queues or refuses an attempt. */
    public AdmissionDecision offer(AttemptDescriptor attempt) {
        if (attempt.incarnation() != incarnation) {
            return new AdmissionDecision.Refused(ResultCode.WRONG_INCARNATION, Duration.ZERO);
        }
        long nowMillis = time.monotonicMillis();
        return switch (records.classify(attempt.id(), attempt.admitByMillis(), nowMillis)) {
            case KNOWN -> new AdmissionDecision.Duplicate(stateOf(attempt.id()));
            case POSSIBLY_EVICTED -> new AdmissionDecision.Refused(ResultCode.RECORD_EVICTED, Duration.ZERO);
            case EXPIRED -> new AdmissionDecision.Refused(expiredCode(attempt, nowMillis), Duration.ZERO);
            case AT_CAPACITY -> new AdmissionDecision.Refused(ResultCode.SATURATED, retryAfter(0));
            case NEW -> decide(attempt, nowMillis);
        };
    }

    /**
     * Releases the capacity of an attempt that has ended and starts queued attempts that now fit.
     *
     * @param failure code of the failure, or null if the attempt completed
     */
    public void finish(AttemptId id, @Nullable ResultCode failure) {
        RunningAttempt ended = running.remove(id);
        if (ended == null) {
            return;
        }
        long nowMillis = time.monotonicMillis();
        tokensInFlight -= ended.attempt().tokens();
        records.markEnded(id, failure, nowMillis);
        if (failure == null) {
            serviceTimeEstimator.add(
                    nowMillis - ended.startedMillis(), ended.attempt().tokens());
        }
        startNext(nowMillis);
    }

    /**
     * Cancels an attempt whose caller has disconnected. Only a queued attempt is refused here; the calling code must
     * cancel a running one itself.
     *
     * @return whether the attempt was queued
     */
    public boolean cancel(AttemptId id) {
        for (AttemptDescriptor attempt : queue.waitingAttempts()) {
            if (attempt.id().equals(id)) {
                refuseQueued(attempt, ResultCode.CANCELLED_BEFORE_RUN, Duration.ZERO);
                startNext(time.monotonicMillis());
                return true;
            }
        }
        return false;
    }

    /**
     * Fences an attempt: if it has not started, it never will. A queued attempt is removed from the queue.
     *
     * @param attemptIncarnation agent incarnation that the attempt was sent to
     */
    public FenceOutcome fence(AttemptId id, long attemptIncarnation, long admitByMillis) {
        if (attemptIncarnation != incarnation) {
            return new FenceOutcome.Unknown(ResultCode.OUTCOME_UNKNOWN);
        }
        if (queue.remove(id)) {
            records.addTombstone(id, admitByMillis);
        }
        return records.fence(id, admitByMillis, time.monotonicMillis());
    }

    /**
     * Refuses queued attempts that have waited too long or whose deadline has passed. Must be called about ten times a
     * second.
     */
    public void tick() {
        long nowMillis = time.monotonicMillis();
        for (AttemptDescriptor attempt :
                queue.waitingLongerThan(limits.maxQueueWait().toMillis(), nowMillis)) {
            refuseQueued(attempt, ResultCode.QUEUE_TIMEOUT, retryAfter(queue.size()));
        }
        for (AttemptDescriptor attempt : queue.waitingAttempts()) {
            if (attempt.deadlineMillis() <= nowMillis) {
                refuseQueued(attempt, ResultCode.DEADLINE_TOO_SHORT, Duration.ZERO);
            }
        }
        records.evict(nowMillis);
        startNext(nowMillis);
    }

    /** Applies the state and limits of the current row. If the row is not serving, all queued attempts are refused. */
    public void applyRow(RowState newState, AdmissionLimits newLimits) {
        rowState = newState;
        limits = newLimits;
        queue.setMaxCreditTokens(newLimits.maxTokensInFlight());
        if (newState != RowState.SERVING) {
            refuseAllQueued(ResultCode.ROW_NOT_SERVING);
        }
        startNext(time.monotonicMillis());
    }

    /** Refuses all queued and future attempts; running attempts continue. */
    public void drain() {
        draining = true;
        refuseAllQueued(ResultCode.DRAINING);
    }

    /** Returns whether no attempt is running or queued. */
    public boolean isIdle() {
        return running.isEmpty() && queue.size() == 0;
    }

    public List<AttemptDescriptor> runningAttempts() {
        return running.values().stream().map(RunningAttempt::attempt).toList();
    }

    /** Returns the stream of a running or ended attempt, or null if the attempt has none or is not recorded. */
    public @Nullable StreamBuffer stream(AttemptId id) {
        return records.stream(id);
    }

    /** Returns the current load. */
    public AdmissionLoad load() {
        return new AdmissionLoad(running.size(), queue.size(), tokensInFlight + queue.queuedTokens());
    }

    private AdmissionDecision decide(AttemptDescriptor attempt, long nowMillis) {
        ResultCode refusal = refusalCode(attempt, nowMillis);
        if (refusal != null) {
            return refuse(attempt, refusal, Duration.ZERO);
        }
        if (queue.size() == 0 && hasCapacityFor(attempt)) {
            run(attempt, nowMillis);
            return new AdmissionDecision.Admitted();
        }
        int ahead = queue.attemptsAhead(attempt.organisation(), attempt.priority());
        long waitMillis = serviceTimeEstimator.estimateWaitMillis(ahead, limits.maxInFlight());
        if (wouldMissDeadline(attempt, nowMillis + waitMillis)) {
            return refuse(attempt, ResultCode.DEADLINE_TOO_SHORT, Duration.ZERO);
        }
        if (waitMillis > limits.maxQueueWait().toMillis() || !makeQueueRoom(attempt)) {
            return refuse(attempt, ResultCode.SATURATED, retryAfter(ahead));
        }
        records.markQueued(attempt.id(), attempt.admitByMillis());
        queue.add(attempt, nowMillis);
        return new AdmissionDecision.Queued();
    }

    private @Nullable ResultCode refusalCode(AttemptDescriptor attempt, long nowMillis) {
        if (draining) {
            return ResultCode.DRAINING;
        }
        if (rowState != RowState.SERVING) {
            return ResultCode.ROW_NOT_SERVING;
        }
        if (attempt.deadlineMillis() <= nowMillis || wouldMissDeadline(attempt, nowMillis)) {
            return ResultCode.DEADLINE_TOO_SHORT;
        }
        return attempt.tokens() > limits.maxTokensInFlight() ? ResultCode.SATURATED : null;
    }

    /**
     * Returns whether an attempt started at {@code startMillis} is expected to miss its deadline. The service-time
     * estimate is used only while another attempt is running: with none running, no new sample would correct a
     * wrong estimate.
     */
    private boolean wouldMissDeadline(AttemptDescriptor attempt, long startMillis) {
        long serviceMillis = serviceTimeEstimator.estimateServiceMillis(attempt.tokens());
        return !running.isEmpty() && startMillis + serviceMillis / 2 >= attempt.deadlineMillis();
    }

    private boolean makeQueueRoom(AttemptDescriptor newcomer) {
        if (limits.maxQueue() == 0 || newcomer.bodyBytes() > limits.maxQueueBytes()) {
            return false;
        }
        while (queue.size() >= limits.maxQueue()
                || queue.queuedBytes() + newcomer.bodyBytes() > limits.maxQueueBytes()) {
            AttemptDescriptor evicted = queue.evictionCandidateFor(newcomer);
            if (evicted == null) {
                return false;
            }
            refuseQueued(evicted, ResultCode.SATURATED, retryAfter(queue.size()));
        }
        return true;
    }

    private void startNext(long nowMillis) {
        for (AttemptDescriptor head = queue.peek(); head != null; head = queue.peek()) {
            if (head.deadlineMillis() <= nowMillis || wouldMissDeadline(head, nowMillis)) {
                refuseQueued(head, ResultCode.DEADLINE_TOO_SHORT, Duration.ZERO);
            } else if (hasCapacityFor(head)) {
                queue.take(head);
                run(head, nowMillis);
                listener.onStarted(head);
            } else {
                return;
            }
        }
    }

    private void run(AttemptDescriptor attempt, long nowMillis) {
        records.markRunning(attempt.id(), attempt.admitByMillis(), new StreamBuffer(maxStreamBytes));
        running.put(attempt.id(), new RunningAttempt(attempt, nowMillis));
        tokensInFlight += attempt.tokens();
    }

    private boolean hasCapacityFor(AttemptDescriptor attempt) {
        return running.size() < limits.maxInFlight()
                && (running.isEmpty() || tokensInFlight + attempt.tokens() <= limits.maxTokensInFlight());
    }

    private AdmissionDecision refuse(AttemptDescriptor attempt, ResultCode code, Duration retryAfter) {
        records.addTombstone(attempt.id(), attempt.admitByMillis());
        return new AdmissionDecision.Refused(code, retryAfter);
    }

    private void refuseQueued(AttemptDescriptor attempt, ResultCode code, Duration retryAfter) {
        if (queue.remove(attempt.id())) {
            records.addTombstone(attempt.id(), attempt.admitByMillis());
            listener.onRefused(attempt, code, retryAfter);
        }
    }

    private void refuseAllQueued(ResultCode code) {
        queue.waitingAttempts().forEach(attempt -> refuseQueued(attempt, code, Duration.ZERO));
    }

    private Duration retryAfter(int ahead) {
        long waitMillis = serviceTimeEstimator.estimateWaitMillis(ahead, limits.maxInFlight());
        return Duration.ofMillis(Math.max(MIN_RETRY_AFTER.toMillis(), waitMillis));
    }

    private AttemptState stateOf(AttemptId id) {
        AttemptState state = records.state(id);
        return state == null ? AttemptState.TOMBSTONE : state;
    }

    private static ResultCode expiredCode(AttemptDescriptor attempt, long nowMillis) {
        return attempt.deadlineMillis() <= nowMillis ? ResultCode.DEADLINE_TOO_SHORT : ResultCode.FENCED;
    }

    private record RunningAttempt(AttemptDescriptor attempt, long startedMillis) {}
}
