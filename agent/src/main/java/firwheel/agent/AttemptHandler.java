package firwheel.agent;

import firwheel.admission.AdmissionController;
import firwheel.admission.AdmissionDecision;
import firwheel.admission.AdmissionLimits;
import firwheel.admission.AdmissionListener;
import firwheel.admission.AdmissionLoad;
import firwheel.admission.AttemptDescriptor;
import firwheel.admission.AttemptRecords;
import firwheel.admission.FenceOutcome;
import firwheel.admission.RecordLimits;
import firwheel.admission.StreamBuffer;
import firwheel.model.AttemptId;
import firwheel.model.FaultBoundary;
import firwheel.model.Priority;
import firwheel.model.ResultCode;
import firwheel.model.RowState;
import firwheel.model.TableSnapshot;
import firwheel.model.TargetKind;
import firwheel.model.TargetRow;
import firwheel.model.TimeSource;
import firwheel.wire.AttemptMessage;
import firwheel.wire.AttemptMessage.FenceState;
import firwheel.wire.Link;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/**
 * Handles the messages that entries send about attempts: passes them to the admission controller and starts, resumes
 * or cancels executions accordingly. Used on the agent's event loop only.
 */
final class AttemptHandler implements AdmissionListener {
    /** Time for which an attempt without a link is kept, so that its entry can resume it over a new link. */
    static final long RESUME_GRACE_MILLIS = 15_000;

    private static final int MAX_STREAM_BYTES = 256 << 10;
    private static final AdmissionLimits PLACEHOLDER_LIMITS = new AdmissionLimits(1, 0, 1, 0, Duration.ZERO);

    /** Starts admitted attempts. */
    interface AttemptStarter {
        /** Starts the attempt on the target; {@code onCompleted} receives the code of its failure, or null on success. */
        AttemptExecution start(
                AttemptMessage.Dispatch dispatch,
                boolean modelTarget,
                AttemptStream stream,
                Consumer<@Nullable ResultCode> onCompleted);
    }

    private final AgentSettings settings;
    private final Supplier<TableSnapshot> table;
    private final TimeSource time;
    private final AttemptStarter starter;
    private final Consumer<String> dispatchResultCounter;
    private final Consumer<Link> beforeChunk;
    private final AdmissionController admission;
    private final FaultBoundary boundary = FaultBoundary.ofProcess();
    private final Map<AttemptId, OpenAttempt> openAttempts = new HashMap<>();
    private @Nullable TableSnapshot appliedTable;
    private boolean modelTarget;

    AttemptHandler(
            AgentSettings settings,
            long incarnation,
            Supplier<TableSnapshot> table,
            TimeSource time,
            AttemptStarter starter,
            Consumer<String> dispatchResultCounter,
            Consumer<Link> beforeChunk) {
        this.settings = settings;
        this.table = table;
        this.time = time;
        this.starter = starter;
        this.dispatchResultCounter = dispatchResultCounter;
        this.beforeChunk = beforeChunk;
        admission = new AdmissionController(
                incarnation,
                RowState.JOINING,
                PLACEHOLDER_LIMITS,
                new AttemptRecords(RecordLimits.DEFAULT),
                MAX_STREAM_BYTES,
                time,
                this);
    }

    void onMessage(Link link, AttemptMessage message) {
        if (message instanceof AttemptMessage.Dispatch dispatch) {
            onDispatch(link, dispatch);
        } else if (message instanceof AttemptMessage.Credit credit) {
            onCredit(credit);
        } else if (message instanceof AttemptMessage.Received received) {
            openAttempts.remove(received.attempt());
        } else if (message instanceof AttemptMessage.Cancel cancel) {
            onCancel(cancel.attempt());
        } else if (message instanceof AttemptMessage.Fence fence) {
            onFence(link, fence);
        } else if (message instanceof AttemptMessage.Resume resume) {
            onResume(link, resume);
        }
    }

    /** Cancels the queued attempts of the link; those that have started stay open, so that they can be resumed. */
    void onLinkClosed(Link link) {
        for (OpenAttempt attempt : List.copyOf(openAttempts.values())) {
            AttemptStream stream = attempt.stream();
            if (stream == null && link.equals(attempt.dispatchLink())) {
                onCancel(attempt.dispatch().attempt());
            } else if (stream != null && stream.detach(link)) {
                attempt.setDetachedAt(time.monotonicMillis());
            }
        }
    }

    /**
     * Applies the active table, lets the admission controller refuse expired attempts in the queue, and abandons attempts
     * that have had no link for longer than {@link #RESUME_GRACE_MILLIS}: an ended attempt is removed, a running one is
     * cancelled only if it is idempotent.
     */
    void tick() {
        refreshRow();
        admission.tick();
        long nowMillis = time.monotonicMillis();
        for (OpenAttempt attempt : List.copyOf(openAttempts.values())) {
            if (attempt.isDetachedLongerThan(RESUME_GRACE_MILLIS, nowMillis)) {
                abandon(attempt);
            }
        }
    }

    void drain() {
        admission.drain();
    }

    /** Returns whether no attempt is queued or running and no complete response awaits its acknowledgement. */
    boolean isIdle() {
        return admission.isIdle() && openAttempts.isEmpty();
    }

    /** Fails all running attempts because the agent is shutting down, and discards all others. */
    void failRemaining() {
        for (OpenAttempt attempt : List.copyOf(openAttempts.values())) {
            AttemptExecution execution = attempt.execution();
            if (execution != null) {
                execution.fail(ResultCode.DRAIN_LIMIT, "the agent shut down before the attempt ended");
            }
        }
        openAttempts.clear();
    }

    /** Returns the links over which the open attempts were dispatched. */
    Set<Link> linksWithOpenAttempts() {
        return openAttempts.values().stream().map(OpenAttempt::dispatchLink).collect(Collectors.toSet());
    }

    /** Returns whether a running attempt is waiting for more output from the target. */
    boolean isAwaitingOutput() {
        return openAttempts.values().stream()
                .map(OpenAttempt::execution)
                .anyMatch(execution -> execution != null && execution.isAwaitingOutput());
    }

    AdmissionLoad currentLoad() {
        return admission.load();
    }

    @Override
    public void onStarted(AttemptDescriptor descriptor) {
        OpenAttempt attempt = openAttempts.get(descriptor.id());
        if (attempt != null) {
            start(attempt);
        }
    }

    @Override
    public void onRefused(AttemptDescriptor descriptor, ResultCode code, Duration retryAfter) {
        OpenAttempt attempt = openAttempts.remove(descriptor.id());
        if (attempt != null) {
            refuse(attempt.dispatchLink(), descriptor.id(), code, retryAfter);
        }
    }

    private void onDispatch(Link link, AttemptMessage.Dispatch dispatch) {
        refreshRow();
        AttemptId id = dispatch.attempt();
        if (!dispatch.row().equals(settings.row()) || dispatch.rank() != settings.rank()) {
            refuse(link, id, ResultCode.ROW_NOT_SERVING, Duration.ZERO);
            return;
        }
        AdmissionDecision decision = admission.offer(describe(dispatch));
        if (decision instanceof AdmissionDecision.Refused refused) {
            refuse(link, id, refused.code(), refused.retryAfter());
        } else if (decision instanceof AdmissionDecision.Duplicate) {
            dispatchResultCounter.accept("duplicate");
        } else {
            OpenAttempt attempt = new OpenAttempt(dispatch, link);
            openAttempts.put(id, attempt);
            boolean queued = decision instanceof AdmissionDecision.Queued;
            dispatchResultCounter.accept(queued ? "queued" : "admitted");
            if (!queued) {
                start(attempt);
            }
        }
    }

    private void start(OpenAttempt attempt) {
        if (!boundary.run("start attempt", () -> execute(attempt))) {
            refuse(attempt.dispatchLink(), attempt.dispatch().attempt(), ResultCode.FAULT_NOT_RUN, Duration.ZERO);
            onCompleted(attempt, ResultCode.FAULT_NOT_RUN);
        }
    }

    private void execute(OpenAttempt attempt) {
        AttemptMessage.Dispatch dispatch = attempt.dispatch();
        StreamBuffer buffer = admission.stream(dispatch.attempt());
        if (buffer == null) {
            throw new IllegalStateException("the admission controller has no stream for a running attempt");
        }
        AttemptStream stream = new AttemptStream(dispatch.attempt(), buffer, beforeChunk);
        stream.attach(attempt.dispatchLink(), 0, dispatch.creditChunks());
        attempt.setRunning(
                stream, starter.start(dispatch, modelTarget, stream, failure -> onCompleted(attempt, failure)));
    }

    private void onCompleted(OpenAttempt attempt, @Nullable ResultCode failure) {
        attempt.clearExecution();
        if (failure != null) {
            openAttempts.remove(attempt.dispatch().attempt());
        }
        admission.finish(attempt.dispatch().attempt(), failure);
    }

    private void onCredit(AttemptMessage.Credit credit) {
        OpenAttempt attempt = openAttempts.get(credit.attempt());
        if (attempt == null || attempt.stream() == null) {
            return;
        }
        attempt.stream().onCredit(credit);
        resumeReading(attempt);
    }

    private static void resumeReading(OpenAttempt attempt) {
        AttemptExecution execution = attempt.execution();
        if (execution != null) {
            execution.resumeReading();
        }
    }

    private void onCancel(AttemptId id) {
        OpenAttempt attempt = openAttempts.remove(id);
        if (attempt == null || admission.cancel(id)) {
            return;
        }
        AttemptExecution execution = attempt.execution();
        if (execution != null) {
            execution.cancel();
        }
    }

    private void abandon(OpenAttempt attempt) {
        AttemptExecution execution = attempt.execution();
        if (execution == null) {
            openAttempts.remove(attempt.dispatch().attempt());
        } else if (attempt.dispatch().idempotent()) {
            execution.cancel();
        }
    }

    private void onFence(Link link, AttemptMessage.Fence fence) {
        FenceOutcome outcome = admission.fence(fence.attempt(), fence.agentIncarnation(), fence.admitByMillis());
        if (outcome instanceof FenceOutcome.NeverAdmitted) {
            openAttempts.remove(fence.attempt());
        }
        link.send(toFenceReply(fence.attempt(), outcome));
    }

    private void onResume(Link link, AttemptMessage.Resume resume) {
        OpenAttempt attempt = openAttempts.get(resume.attempt());
        AttemptStream stream = attempt == null ? endedStream(resume.attempt()) : attempt.stream();
        if (stream == null || !stream.attach(link, resume.fromSequence(), resume.creditChunks())) {
            link.send(new AttemptMessage.Failed(
                    resume.attempt(),
                    ResultCode.STREAM_BROKEN.number(),
                    "the response is no longer buffered from the requested position"));
        } else if (attempt != null) {
            resumeReading(attempt);
        }
    }

    private @Nullable AttemptStream endedStream(AttemptId id) {
        StreamBuffer buffer = admission.stream(id);
        return buffer == null ? null : new AttemptStream(id, buffer, beforeChunk);
    }

    private static AttemptMessage.FenceReply toFenceReply(AttemptId id, FenceOutcome outcome) {
        if (outcome instanceof FenceOutcome.Running running) {
            return new AttemptMessage.FenceReply(
                    id, FenceState.RUNNING, running.firstHeldSequence(), running.nextSequence(), 0);
        }
        if (outcome instanceof FenceOutcome.Ended ended) {
            ResultCode failure = ended.failure();
            int code = failure == null ? 0 : failure.number();
            return new AttemptMessage.FenceReply(
                    id, FenceState.ENDED, ended.firstHeldSequence(), ended.chunkCount(), code);
        }
        if (outcome instanceof FenceOutcome.Unknown unknown) {
            return new AttemptMessage.FenceReply(
                    id, FenceState.UNKNOWN, 0, 0, unknown.code().number());
        }
        return new AttemptMessage.FenceReply(id, FenceState.NEVER_ADMITTED, 0, 0, 0);
    }

    private void refuse(Link link, AttemptId id, ResultCode code, Duration retryAfter) {
        dispatchResultCounter.accept(code.label());
        link.send(new AttemptMessage.Refused(id, code.number(), retryAfter.toMillis(), code.summary()));
    }

    @SuppressWarnings("ReferenceEquality")
    private void refreshRow() {
        TableSnapshot snapshot = table.get();
        if (snapshot == appliedTable) {
            return;
        }
        appliedTable = snapshot;
        TargetRow row = snapshot.row(settings.row()).orElse(null);
        if (row == null) {
            admission.applyRow(RowState.LEAVING, PLACEHOLDER_LIMITS);
        } else {
            modelTarget = row.kind() == TargetKind.MODEL;
            admission.applyRow(row.state(), AdmissionLimits.of(row));
        }
    }

    private static AttemptDescriptor describe(AttemptMessage.Dispatch dispatch) {
        return new AttemptDescriptor(
                dispatch.attempt(),
                dispatch.agentIncarnation(),
                dispatch.organisation(),
                parsePriority(dispatch.priority()),
                Math.max(1, dispatch.estimatedTokens()),
                dispatch.body().length,
                dispatch.admitByMillis(),
                dispatch.deadlineMillis());
    }

    private static Priority parsePriority(String name) {
        for (Priority priority : Priority.values()) {
            if (priority.name().equals(name)) {
                return priority;
            }
        }
        return Priority.NORMAL;
    }
}
