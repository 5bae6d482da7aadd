package firwheel.admission;

import firwheel.model.AttemptId;
import firwheel.model.ResultCode;
import firwheel.model.RowState;
import firwheel.model.TimeSource;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/** Simulated agent with the real admission controller and attempt records, and its engine or service. */
final class FaultyAgent implements AdmissionListener {
    private static final int TICK_MILLIS = 100;

    /** Receiver of the frames of one attempt, in the entry. */
    interface Peer {
        void refused(AttemptId attempt, ResultCode code, Duration retryAfter);

        void chunk(AttemptId attempt, StreamChunk chunk);

        void end(AttemptId attempt, StreamEnd end);

        void failed(AttemptId attempt, ResultCode code);

        void linkLost(AttemptId attempt);
    }

    /** A dispatch frame. */
    record Dispatch(AttemptDescriptor attempt, FaultSimulation.Request request, int firstChunk, Peer peer) {}

    private final FaultSimulation simulation;
    private final long clockOffsetMillis;
    private final Map<AttemptId, Dispatch> calls = new HashMap<>();
    private long incarnation;
    private AdmissionController controller;
    private AttemptRecords records;

    FaultyAgent(FaultSimulation simulation) {
        this.simulation = simulation;
        this.clockOffsetMillis = simulation.randomBetween(-1_000_000, 1_000_000);
        records = newRecords();
        controller = newController();
        if (simulation.faults.contains(FaultSimulation.Fault.AGENT_RESTART)) {
            simulation.schedule(simulation.randomBetween(10, 2500), this::restart);
        }
        simulation.schedule(TICK_MILLIS, this::tick);
    }

    long incarnation() {
        return incarnation;
    }

    long clockMillis() {
        return simulation.nowMillis() + clockOffsetMillis;
    }

    void dispatch(Dispatch dispatch) {
        AttemptId id = dispatch.attempt().id();
        boolean known = records.state(id) != null;
        AdmissionDecision decision = controller.offer(dispatch.attempt());
        simulation.countEvent(decision.getClass().getSimpleName());
        if (!known) {
            calls.put(id, dispatch);
        }
        if (decision instanceof AdmissionDecision.Admitted) {
            run(dispatch);
        } else if (decision instanceof AdmissionDecision.Refused refused) {
            simulation.countEvent("refused " + refused.code());
            dispatch.peer().refused(id, refused.code(), refused.retryAfter());
        } else if (decision instanceof AdmissionDecision.Duplicate duplicate
                && duplicate.state() == AttemptState.TOMBSTONE
                && simulation.mutation == FaultSimulation.Mutation.TOMBSTONES_IGNORED) {
            run(dispatch);
        }
    }

    FenceOutcome fence(AttemptId id, long attemptIncarnation, long admitByMillis) {
        FenceOutcome outcome = controller.fence(id, attemptIncarnation, admitByMillis);
        simulation.countEvent("fence " + outcome.getClass().getSimpleName());
        return outcome;
    }

    void resume(AttemptId id, long fromSequence, Peer peer) {
        StreamBuffer stream = records.stream(id);
        if (stream == null || !stream.canResumeFrom(fromSequence)) {
            peer.linkLost(id);
            return;
        }
        simulation.countEvent("resumed");
        stream.chunksFrom(fromSequence).forEach(chunk -> peer.chunk(id, chunk));
        StreamEnd end = stream.end();
        if (end != null) {
            peer.end(id, end);
        }
    }

    @Override
    public void onStarted(AttemptDescriptor attempt) {
        Dispatch call = calls.get(attempt.id());
        if (call != null) {
            run(call);
        }
    }

    @Override
    public void onRefused(AttemptDescriptor attempt, ResultCode code, Duration retryAfter) {
        Dispatch call = calls.get(attempt.id());
        if (call != null) {
            call.peer().refused(attempt.id(), code, retryAfter);
        }
    }

    private void run(Dispatch call) {
        long runIncarnation = incarnation;
        boolean fails = simulation.occurs(FaultSimulation.Fault.ENGINE_FAILURE, 0.3);
        simulation.schedule(simulation.randomBetween(1, 20), () -> {
            simulation.executions.add(call.request());
            produce(call, call.firstChunk(), runIncarnation, fails);
        });
    }

    private void produce(Dispatch call, int index, long runIncarnation, boolean fails) {
        AttemptId id = call.attempt().id();
        StreamBuffer stream = records.stream(id);
        if (incarnation != runIncarnation || stream == null) {
            return;
        }
        if (fails && index >= call.request().chunks() / 2) {
            controller.finish(id, ResultCode.ENGINE_ERROR);
            call.peer().failed(id, ResultCode.ENGINE_ERROR);
        } else if (index == call.request().chunks()) {
            StreamEnd end = stream.finish();
            controller.finish(id, null);
            call.peer().end(id, end);
        } else {
            byte[] payload = call.request().chunk(index).getBytes(StandardCharsets.UTF_8);
            call.peer().chunk(id, stream.append(payload));
            simulation.schedule(simulation.randomBetween(1, 60), () -> produce(call, index + 1, runIncarnation, fails));
        }
    }

    private void restart() {
        simulation.countEvent("agent restarted");
        incarnation++;
        calls.values().forEach(call -> call.peer().linkLost(call.attempt().id()));
        calls.clear();
        records = newRecords();
        controller = newController();
    }

    private void tick() {
        controller.tick();
        simulation.schedule(TICK_MILLIS, this::tick);
    }

    private AttemptRecords newRecords() {
        boolean small = simulation.faults.contains(FaultSimulation.Fault.SMALL_RECORD_LIMITS);
        return new AttemptRecords(small ? new RecordLimits(4, 20, Duration.ofMillis(500)) : RecordLimits.DEFAULT);
    }

    private AdmissionController newController() {
        AdmissionLimits limits = new AdmissionLimits(2, 2, 1000, 1000, Duration.ofMillis(800));
        TimeSource clock = new TimeSource() {
            @Override
            public Instant now() {
                return simulation.time.now();
            }

            @Override
            public long monotonicNanos() {
                return clockMillis() * 1_000_000L;
            }
        };
        return new AdmissionController(incarnation, RowState.SERVING, limits, records, 1 << 16, clock, this);
    }
}
