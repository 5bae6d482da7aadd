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
 * The last decision before an attempt reaches an engine or service: admits, queues or refuses it, and remembers what it
 * said. Whatever it refuses as not run never runs in this process, also when the same frame arrives again. Not
 * thread-safe; the agent calls it on one thread.
 */
public final class AdmissionController {
    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(100);

    private final long incarnation;
    private final AttemptRecords records;
    private final TimeSource time;
    private final AdmissionListener listener;
    private final int maxStreamBytes;
    private final FairQueue queue;
    private final ServiceTimes serviceTimes = new ServiceTimes();
    private final Map<AttemptId, Running> running = new HashMap<>();
    private AdmissionLimits limits;
    private RowState rowState;
    private boolean draining;
    private long tokensInFlight;

    /**
     * Creates a gate.
     *
     * @param incarnation random number of this agent process
     * @param maxStreamBytes bound of each stream's buffer
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

    /** Decides on an attempt. */
    public AdmissionDecision offer(AttemptDescriptor ticket) {
        if (ticket.incarnation() != incarnation) {
            return new AdmissionDecision.Refused(ResultCode.WRONG_INCARNATION, Duration.ZERO);
        }
        long nowMillis = time.monotonicMillis();
        return switch (records.arrival(ticket.id(), ticket.admitByMillis(), nowMillis)) {
            case KNOWN -> new AdmissionDecision.Duplicate(stateOf(ticket.id()));
            case FORGOTTEN -> new AdmissionDecision.Refused(ResultCode.RECORD_EVICTED, Duration.ZERO);
            case LATE -> new AdmissionDecision.Refused(lateCode(ticket, nowMillis), Duration.ZERO);
            case NO_ROOM -> new AdmissionDecision.Refused(ResultCode.SATURATED, retryAfter(0));
            case FRESH -> decide(ticket, nowMillis);
        };
    }

    /** Releases an attempt that has ended, with the code of its failure or null, and starts what may run next. */
    public void finish(AttemptId id, @Nullable ResultCode failure) {
        Running ended = running.remove(id);
        if (ended == null) {
            return;
        }
        long nowMillis = time.monotonicMillis();
        tokensInFlight -= ended.ticket().tokens();
        records.ended(id, failure, nowMillis);
        if (failure == null) {
            serviceTimes.add(nowMillis - ended.sinceMillis(), ended.ticket().tokens());
        }
        startNext(nowMillis);
    }

    /** Gives up an attempt whose caller has left; returns whether it waited and is thereby answered. */
    public boolean cancel(AttemptId id) {
        for (AttemptDescriptor ticket : queue.all()) {
            if (ticket.id().equals(id)) {
                refuseQueued(ticket, ResultCode.CANCELLED_BEFORE_RUN, Duration.ZERO);
                startNext(time.monotonicMillis());
                return true;
            }
        }
        return false;
    }

    /**
     * Fences an attempt: one that has not started never will. A waiting one is taken from the queue.
     *
     * @param attemptIncarnation incarnation that the attempt was meant for
     */
    public FenceOutcome fence(AttemptId id, long attemptIncarnation, long admitByMillis) {
        if (attemptIncarnation != incarnation) {
            return new FenceOutcome.Unknown(ResultCode.OUTCOME_UNKNOWN);
        }
        if (queue.remove(id)) {
            records.tombstone(id, admitByMillis);
        }
        return records.fence(id, admitByMillis, time.monotonicMillis());
    }

    /** Answers what has waited too long. To be called some ten times a second. */
    public void tick() {
        long nowMillis = time.monotonicMillis();
        for (AttemptDescriptor ticket :
                queue.waitingLongerThan(limits.maxQueueWait().toMillis(), nowMillis)) {
            refuseQueued(ticket, ResultCode.QUEUE_TIMEOUT, retryAfter(queue.size()));
        }
        for (AttemptDescriptor ticket : queue.all()) {
            if (ticket.deadlineMillis() <= nowMillis) {
                refuseQueued(ticket, ResultCode.DEADLINE_TOO_SHORT, Duration.ZERO);
            }
        }
        records.evict(nowMillis);
        startNext(nowMillis);
    }

    /** Takes the state and limits of the row in force. What waits at a row that stops serving is refused at once. */
    public void applyRow(RowState newState, AdmissionLimits newLimits) {
        rowState = newState;
        limits = newLimits;
        queue.setMaxCreditTokens(newLimits.maxTokensInFlight());
        if (newState != RowState.SERVING) {
            refuseAllQueued(ResultCode.ROW_NOT_SERVING);
        }
        startNext(time.monotonicMillis());
    }

    /** Takes nothing new from now on and refuses what waits; running attempts go on. */
    public void drain() {
        draining = true;
        refuseAllQueued(ResultCode.DRAINING);
    }

    /** Returns whether nothing runs any more. */
    public boolean isIdle() {
        return running.isEmpty() && queue.size() == 0;
    }

    /** Returns the running attempts. */
    public List<AttemptDescriptor> runningAttempts() {
        return running.values().stream().map(Running::ticket).toList();
    }

    /** Returns the stream of a running or ended attempt, or null. */
    public @Nullable StreamBuffer stream(AttemptId id) {
        return records.stream(id);
    }

    /** Returns the present load. */
    public AdmissionLoad load() {
        return new AdmissionLoad(running.size(), queue.size(), tokensInFlight + queue.queuedTokens());
    }

    private AdmissionDecision decide(AttemptDescriptor ticket, long nowMillis) {
        ResultCode refusal = refusal(ticket, nowMillis);
        if (refusal != null) {
            return refuse(ticket, refusal, Duration.ZERO);
        }
        if (queue.size() == 0 && fits(ticket)) {
            run(ticket, nowMillis);
            return new AdmissionDecision.Admitted();
        }
        int ahead = queue.ahead(ticket.organisation(), ticket.priority());
        long waitMillis = serviceTimes.waitMillis(ahead, limits.maxInFlight());
        if (missesDeadline(ticket, nowMillis + waitMillis)) {
            return refuse(ticket, ResultCode.DEADLINE_TOO_SHORT, Duration.ZERO);
        }
        if (waitMillis > limits.maxQueueWait().toMillis() || !makeRoom(ticket)) {
            return refuse(ticket, ResultCode.SATURATED, retryAfter(ahead));
        }
        records.queued(ticket.id(), ticket.admitByMillis());
        queue.add(ticket, nowMillis);
        return new AdmissionDecision.Queued();
    }

    private @Nullable ResultCode refusal(AttemptDescriptor ticket, long nowMillis) {
        if (draining) {
            return ResultCode.DRAINING;
        }
        if (rowState != RowState.SERVING) {
            return ResultCode.ROW_NOT_SERVING;
        }
        if (ticket.deadlineMillis() <= nowMillis || missesDeadline(ticket, nowMillis)) {
            return ResultCode.DEADLINE_TOO_SHORT;
        }
        return ticket.tokens() > limits.maxTokensInFlight() ? ResultCode.SATURATED : null;
    }

    /** Estimates are trusted only while something runs that will renew them. */
    private boolean missesDeadline(AttemptDescriptor ticket, long startMillis) {
        long serviceMillis = serviceTimes.serviceMillis(ticket.tokens());
        return !running.isEmpty() && startMillis + serviceMillis / 2 >= ticket.deadlineMillis();
    }

    private boolean makeRoom(AttemptDescriptor newcomer) {
        if (limits.maxQueue() == 0 || newcomer.bodyBytes() > limits.maxQueueBytes()) {
            return false;
        }
        while (queue.size() >= limits.maxQueue()
                || queue.queuedBytes() + newcomer.bodyBytes() > limits.maxQueueBytes()) {
            AttemptDescriptor victim = queue.victimFor(newcomer);
            if (victim == null) {
                return false;
            }
            refuseQueued(victim, ResultCode.SATURATED, retryAfter(queue.size()));
        }
        return true;
    }

    private void startNext(long nowMillis) {
        for (AttemptDescriptor head = queue.peek(); head != null; head = queue.peek()) {
            if (head.deadlineMillis() <= nowMillis || missesDeadline(head, nowMillis)) {
                refuseQueued(head, ResultCode.DEADLINE_TOO_SHORT, Duration.ZERO);
            } else if (fits(head)) {
                queue.take(head);
                run(head, nowMillis);
                listener.onStarted(head);
            } else {
                return;
            }
        }
    }

    private void run(AttemptDescriptor ticket, long nowMillis) {
        records.running(ticket.id(), ticket.admitByMillis(), new StreamBuffer(maxStreamBytes));
        running.put(ticket.id(), new Running(ticket, nowMillis));
        tokensInFlight += ticket.tokens();
    }

    private boolean fits(AttemptDescriptor ticket) {
        return running.size() < limits.maxInFlight()
                && (running.isEmpty() || tokensInFlight + ticket.tokens() <= limits.maxTokensInFlight());
    }

    private AdmissionDecision refuse(AttemptDescriptor ticket, ResultCode code, Duration retryAfter) {
        records.tombstone(ticket.id(), ticket.admitByMillis());
        return new AdmissionDecision.Refused(code, retryAfter);
    }

    private void refuseQueued(AttemptDescriptor ticket, ResultCode code, Duration retryAfter) {
        if (queue.remove(ticket.id())) {
            records.tombstone(ticket.id(), ticket.admitByMillis());
            listener.onRefused(ticket, code, retryAfter);
        }
    }

    private void refuseAllQueued(ResultCode code) {
        queue.all().forEach(ticket -> refuseQueued(ticket, code, Duration.ZERO));
    }

    private Duration retryAfter(int ahead) {
        long waitMillis = serviceTimes.waitMillis(ahead, limits.maxInFlight());
        return Duration.ofMillis(Math.max(MIN_RETRY_AFTER.toMillis(), waitMillis));
    }

    private AttemptState stateOf(AttemptId id) {
        AttemptState state = records.state(id);
        return state == null ? AttemptState.TOMBSTONE : state;
    }

    private static ResultCode lateCode(AttemptDescriptor ticket, long nowMillis) {
        return ticket.deadlineMillis() <= nowMillis ? ResultCode.DEADLINE_TOO_SHORT : ResultCode.FENCED;
    }

    private record Running(AttemptDescriptor ticket, long sinceMillis) {}
}
