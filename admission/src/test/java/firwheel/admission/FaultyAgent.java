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

/** One agent with the real gate and records, and the engine or service behind it. */
final class FaultyAgent implements AdmissionListener {
    private static final int TICK_MILLIS = 100;

    /** The entry's side of one attempt. */
    interface Peer {
        void refused(AttemptId attempt, ResultCode code, Duration retryAfter);

        void chunk(AttemptId attempt, StreamChunk chunk);

        void end(AttemptId attempt, StreamEnd end);

        void failed(AttemptId attempt, ResultCode code);

        void linkLost(AttemptId attempt);
    }

    /** A dispatch frame. */
    record Dispatch(AttemptDescriptor ticket, FaultWorld.Request request, int firstChunk, Peer peer) {}

    private final FaultWorld world;
    private final long clockOffsetMillis;
    private final Map<AttemptId, Dispatch> calls = new HashMap<>();
    private long incarnation;
    private AdmissionController gate;
    private AttemptRecords records;

    FaultyAgent(FaultWorld world) {
        this.world = world;
        this.clockOffsetMillis = world.between(-1_000_000, 1_000_000);
        records = newRecords();
        gate = newGate();
        if (world.faults.contains(FaultWorld.Fault.AGENT_RESTART)) {
            world.after(world.between(10, 2500), this::restart);
        }
        world.after(TICK_MILLIS, this::tick);
    }

    long incarnation() {
        return incarnation;
    }

    long clockMillis() {
        return world.nowMillis() + clockOffsetMillis;
    }

    void dispatch(Dispatch dispatch) {
        AttemptId id = dispatch.ticket().id();
        boolean known = records.state(id) != null;
        AdmissionDecision decision = gate.offer(dispatch.ticket());
        world.saw(decision.getClass().getSimpleName());
        if (!known) {
            calls.put(id, dispatch);
        }
        if (decision instanceof AdmissionDecision.Admitted) {
            run(dispatch);
        } else if (decision instanceof AdmissionDecision.Refused refused) {
            world.saw("refused " + refused.code());
            dispatch.peer().refused(id, refused.code(), refused.retryAfter());
        } else if (decision instanceof AdmissionDecision.Duplicate duplicate
                && duplicate.state() == AttemptState.TOMBSTONE
                && world.mutation == FaultWorld.Mutation.TOMBSTONES_IGNORED) {
            run(dispatch);
        }
    }

    FenceOutcome fence(AttemptId id, long attemptIncarnation, long admitByMillis) {
        FenceOutcome answer = gate.fence(id, attemptIncarnation, admitByMillis);
        world.saw("fence " + answer.getClass().getSimpleName());
        return answer;
    }

    void resume(AttemptId id, long fromSequence, Peer peer) {
        StreamBuffer stream = records.stream(id);
        if (stream == null || !stream.canResumeFrom(fromSequence)) {
            peer.linkLost(id);
            return;
        }
        world.saw("resumed");
        stream.chunksFrom(fromSequence).forEach(chunk -> peer.chunk(id, chunk));
        StreamEnd end = stream.end();
        if (end != null) {
            peer.end(id, end);
        }
    }

    @Override
    public void onStarted(AttemptDescriptor ticket) {
        Dispatch call = calls.get(ticket.id());
        if (call != null) {
            run(call);
        }
    }

    @Override
    public void onRefused(AttemptDescriptor ticket, ResultCode code, Duration retryAfter) {
        Dispatch call = calls.get(ticket.id());
        if (call != null) {
            call.peer().refused(ticket.id(), code, retryAfter);
        }
    }

    private void run(Dispatch call) {
        long runIncarnation = incarnation;
        boolean fails = world.has(FaultWorld.Fault.ENGINE_FAILURE, 0.3);
        world.after(world.between(1, 20), () -> {
            world.ledger.add(call.request());
            produce(call, call.firstChunk(), runIncarnation, fails);
        });
    }

    private void produce(Dispatch call, int index, long runIncarnation, boolean fails) {
        AttemptId id = call.ticket().id();
        StreamBuffer stream = records.stream(id);
        if (incarnation != runIncarnation || stream == null) {
            return;
        }
        if (fails && index >= call.request().chunks() / 2) {
            gate.finish(id, ResultCode.ENGINE_ERROR);
            call.peer().failed(id, ResultCode.ENGINE_ERROR);
        } else if (index == call.request().chunks()) {
            StreamEnd end = stream.finish();
            gate.finish(id, null);
            call.peer().end(id, end);
        } else {
            byte[] payload = call.request().chunk(index).getBytes(StandardCharsets.UTF_8);
            call.peer().chunk(id, stream.append(payload));
            world.after(world.between(1, 60), () -> produce(call, index + 1, runIncarnation, fails));
        }
    }

    private void restart() {
        world.saw("agent restarted");
        incarnation++;
        calls.values().forEach(call -> call.peer().linkLost(call.ticket().id()));
        calls.clear();
        records = newRecords();
        gate = newGate();
    }

    private void tick() {
        gate.tick();
        world.after(TICK_MILLIS, this::tick);
    }

    private AttemptRecords newRecords() {
        boolean small = world.faults.contains(FaultWorld.Fault.SMALL_MEMORY);
        return new AttemptRecords(small ? new RecordLimits(4, 20, Duration.ofMillis(500)) : RecordLimits.DEFAULT);
    }

    private AdmissionController newGate() {
        AdmissionLimits limits = new AdmissionLimits(2, 2, 1000, 1000, Duration.ofMillis(800));
        TimeSource clock = new TimeSource() {
            @Override
            public Instant now() {
                return world.time.now();
            }

            @Override
            public long monotonicNanos() {
                return clockMillis() * 1_000_000L;
            }
        };
        return new AdmissionController(incarnation, RowState.SERVING, limits, records, 1 << 16, clock, this);
    }
}
