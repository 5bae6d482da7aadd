package firwheel.admission;

import firwheel.model.AttemptId;
import firwheel.model.Outcome;
import firwheel.model.Priority;
import firwheel.model.ResultCode;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;

/**
 * Simulated entry with the real request lifecycle, stream assembler and claims, on links that lose, duplicate and delay
 * frames.
 */
final class FaultyEntry {
    private static final int ADMIT_WINDOW_MILLIS = 1000;
    private static final int FENCE_TIMEOUT_MILLIS = 200;

    private final FaultSimulation simulation;
    private final List<FaultyAgent> agents;
    private final ClaimService claims;
    private final List<RequestFlow> flows = new ArrayList<>();
    private long pausedUntilMillis;
    private boolean killed;

    FaultyEntry(FaultSimulation simulation, List<FaultyAgent> agents, FaultyStore store) {
        this.simulation = simulation;
        this.agents = agents;
        this.claims = new ClaimService(
                store,
                task -> post(0, task),
                (delay, task) -> post(delay.toMillis(), task),
                () -> simulation.newAttemptId().toString(),
                simulation.time);
        if (simulation.occurs(FaultSimulation.Fault.ENTRY_KILL, 0.7)) {
            simulation.schedule(simulation.randomBetween(1, 1500), () -> killed = true);
        }
        if (simulation.occurs(FaultSimulation.Fault.ENTRY_PAUSE, 0.7)) {
            simulation.schedule(
                    simulation.randomBetween(1, 1500),
                    () -> pausedUntilMillis = simulation.nowMillis() + simulation.randomBetween(300, 6000));
        }
    }

    boolean killed() {
        return killed;
    }

    void submit(FaultSimulation.Request request) {
        post(0, () -> {
            RequestFlow flow = new RequestFlow(request);
            flows.add(flow);
            flow.begin();
        });
    }

    /** Runs a task in this process after a delay, unless the process was killed; while paused, the task is deferred. */
    private void post(long millis, Runnable task) {
        simulation.schedule(millis, () -> {
            if (killed) {
                return;
            }
            if (simulation.nowMillis() < pausedUntilMillis) {
                post(pausedUntilMillis - simulation.nowMillis(), task);
            } else {
                task.run();
            }
        });
    }

    private static final class Attempt {
        private final AttemptId id;
        private final FaultyAgent agent;
        private final long incarnation;
        private final long admitByMillis;
        private final StreamAssembler assembler;
        private boolean linkDown;
        private long lastArrivalMillis;

        private Attempt(AttemptId id, FaultyAgent agent) {
            this.id = id;
            this.agent = agent;
            this.incarnation = agent.incarnation();
            this.admitByMillis = agent.clockMillis() + ADMIT_WINDOW_MILLIS;
            this.assembler = new StreamAssembler(id);
        }
    }

    private final class RequestFlow implements FaultyAgent.Peer {
        private final FaultSimulation.Request request;
        private final AttemptLifecycle lifecycle;
        private final StringBuilder delivered = new StringBuilder();
        private int deliveredChunks;
        private @Nullable Attempt current;
        private @Nullable Claim claim;

        private RequestFlow(FaultSimulation.Request request) {
            this.request = request;
            boolean mutated = simulation.mutation == FaultSimulation.Mutation.UNKNOWN_RETRIED;
            RequestTraits traits = new RequestTraits(
                    request.idempotent() || mutated, simulation.random.nextBoolean(), request.deadlineMillis());
            lifecycle = new AttemptLifecycle(traits, () -> simulation.random.nextInt(10) > 0, simulation::newAttemptId);
        }

        private void begin() {
            post(Math.max(0, request.deadlineMillis() - simulation.nowMillis()), () -> act(lifecycle.onDeadline()));
            if (!request.keyed()) {
                act(lifecycle.start(simulation.nowMillis()));
                return;
            }
            ClaimRequest claimRequest = new ClaimRequest(
                    "org",
                    "orders",
                    request.subject(),
                    "digest",
                    simulation.time.now().plusMillis(1000));
            CompletableFuture<?> unused = claims.claim(claimRequest).thenAccept(this::onClaim);
        }

        private void onClaim(ClaimOutcome outcome) {
            simulation.countEvent("claim " + outcome.getClass().getSimpleName());
            if (outcome instanceof ClaimOutcome.Claimed claimed) {
                claim = claimed.claim();
                if (lifecycle.isEnded()) {
                    closeClaim(ResultCode.DEADLINE_TOO_SHORT);
                } else {
                    act(lifecycle.start(simulation.nowMillis()));
                }
            } else if (!lifecycle.isEnded()) {
                finishWithoutDispatch(outcome);
            }
        }

        private void finishWithoutDispatch(ClaimOutcome outcome) {
            if (outcome instanceof ClaimOutcome.Refused refused) {
                simulation.countEvent("claim " + refused.code());
                if (simulation.mutation == FaultSimulation.Mutation.UNRESOLVED_CLAIM_IGNORED
                        && refused.code() == ResultCode.CLAIM_UNRESOLVED) {
                    act(lifecycle.start(simulation.nowMillis()));
                    return;
                }
                simulation.finalResults.add(new FaultSimulation.FinalResult(request, refused.code(), ""));
            } else if (outcome instanceof ClaimOutcome.Recorded recorded) {
                String body = new String(recorded.response().body(), StandardCharsets.UTF_8);
                simulation.finalResults.add(new FaultSimulation.FinalResult(request, null, body));
            }
            lifecycle.onCallerDisconnected();
        }

        private void act(LifecycleAction action) {
            if (action instanceof LifecycleAction.Dispatch dispatch) {
                dispatch(dispatch.attempt());
            } else if (action instanceof LifecycleAction.Fence) {
                fence();
            } else if (action instanceof LifecycleAction.Resume resume) {
                Attempt attempt = attempt();
                toAgent(attempt, () -> attempt.agent.resume(attempt.id, resume.fromSequence(), this));
            } else if (action instanceof LifecycleAction.Complete) {
                finish(null);
            } else if (action instanceof LifecycleAction.Fail fail) {
                finish(fail.code());
            }
        }

        private void dispatch(AttemptId id) {
            Attempt attempt = new Attempt(id, agents.get(simulation.random.nextInt(agents.size())));
            current = attempt;
            if (simulation.occurs(FaultSimulation.Fault.LINK_LOSS, 0.1)) {
                post(5, () -> act(lifecycle.onNotSent(id, simulation.nowMillis())));
                return;
            }
            long remainingMillis = request.deadlineMillis() - simulation.nowMillis();
            AttemptDescriptor descriptor = new AttemptDescriptor(
                    id,
                    attempt.incarnation,
                    "org" + request.number() % 3,
                    Priority.NORMAL,
                    100,
                    100,
                    attempt.admitByMillis,
                    attempt.agent.clockMillis() + remainingMillis);
            int firstChunk = deliveredChunks;
            post(
                    0,
                    () -> toAgent(
                            attempt,
                            () -> attempt.agent.dispatch(
                                    new FaultyAgent.Dispatch(descriptor, request, firstChunk, this))));
        }

        private void fence() {
            Attempt attempt = attempt();
            attempt.linkDown = false;
            post(FENCE_TIMEOUT_MILLIS, () -> act(lifecycle.onFenceTimeout(attempt.id, simulation.nowMillis())));
            toAgent(attempt, () -> {
                FenceOutcome outcome = attempt.agent.fence(attempt.id, attempt.incarnation, attempt.admitByMillis);
                toEntry(attempt.id, () -> onFenceReply(attempt, outcome));
            });
        }

        private void onFenceReply(Attempt attempt, FenceOutcome outcome) {
            boolean mutated = simulation.mutation == FaultSimulation.Mutation.EVICTED_TREATED_AS_NOT_RUN
                    && outcome instanceof FenceOutcome.Unknown;
            FenceOutcome effective = mutated ? new FenceOutcome.NeverAdmitted() : outcome;
            act(lifecycle.onFenceOutcome(attempt.id, effective, simulation.nowMillis()));
        }

        private void finish(@Nullable ResultCode code) {
            simulation.finalResults.add(new FaultSimulation.FinalResult(request, code, delivered.toString()));
            closeClaim(code);
        }

        private void closeClaim(@Nullable ResultCode code) {
            Claim heldClaim = claim;
            if (heldClaim == null) {
                return;
            }
            CompletableFuture<Boolean> unused;
            if (code == null) {
                byte[] body = delivered.toString().getBytes(StandardCharsets.UTF_8);
                unused = claims.complete(heldClaim, new RecordedResponse(200, "text/plain", body));
            } else if (code.outcome() == Outcome.NOT_RUN) {
                unused = claims.release(heldClaim);
            } else {
                unused = claims.markUnresolved(heldClaim);
            }
        }

        private Attempt attempt() {
            return Objects.requireNonNull(current);
        }

        private void toAgent(Attempt attempt, Runnable arrive) {
            if (simulation.occurs(FaultSimulation.Fault.LINK_LOSS, 0.1)) {
                linkLost(attempt.id);
                return;
            }
            if (simulation.occurs(FaultSimulation.Fault.LINK_LOSS, 0.1)) {
                simulation.schedule(simulation.randomBetween(1, 1500), arrive);
                linkLost(attempt.id);
                return;
            }
            transmit(attempt, arrive);
        }

        private void toEntry(AttemptId id, Runnable arrive) {
            Attempt attempt = current;
            if (attempt == null || !attempt.id.equals(id)) {
                simulation.schedule(simulation.randomBetween(1, 5), () -> post(0, arrive));
            } else if (!attempt.linkDown && simulation.occurs(FaultSimulation.Fault.LINK_LOSS, 0.05)) {
                linkLost(id);
            } else if (!attempt.linkDown) {
                transmit(attempt, () -> post(0, arrive));
            }
        }

        /** Delivers a frame in the order of its link, unless the faults include delayed and duplicated frames. */
        private void transmit(Attempt attempt, Runnable arrive) {
            long arrivalMillis =
                    Math.max(attempt.lastArrivalMillis, simulation.nowMillis() + simulation.randomBetween(1, 5));
            attempt.lastArrivalMillis = arrivalMillis;
            long delayMillis = arrivalMillis - simulation.nowMillis();
            if (simulation.occurs(FaultSimulation.Fault.FRAMES_DELAYED_DUPLICATED_MISROUTED, 0.2)) {
                simulation.schedule(delayMillis + simulation.randomBetween(0, 2000), arrive);
            }
            boolean delayed = simulation.occurs(FaultSimulation.Fault.FRAMES_DELAYED_DUPLICATED_MISROUTED, 0.1);
            simulation.schedule(delayed ? delayMillis + simulation.randomBetween(0, 500) : delayMillis, arrive);
        }

        private void onChunk(AttemptId from, StreamChunk chunk) {
            Attempt attempt = current;
            if (attempt == null || lifecycle.isEnded()) {
                return;
            }
            boolean next = attempt.assembler.accept(from, chunk);
            if (next || simulation.mutation == FaultSimulation.Mutation.CHUNK_ORDER_UNCHECKED) {
                delivered.append(new String(chunk.payload(), StandardCharsets.UTF_8));
                deliveredChunks++;
                lifecycle.onChunk(attempt.id, true);
            } else {
                simulation.countEvent("frame dropped");
            }
        }

        private void onEnd(AttemptId from, StreamEnd end) {
            Attempt attempt = current;
            if (attempt != null && !lifecycle.isEnded()) {
                StreamIntegrity integrity = attempt.assembler.end(from, end);
                simulation.countEvent("stream " + integrity);
                boolean mutated = simulation.mutation == FaultSimulation.Mutation.CHUNK_ORDER_UNCHECKED;
                act(lifecycle.onEnd(from, mutated ? StreamIntegrity.COMPLETE : integrity, simulation.nowMillis()));
            }
        }

        @Override
        public void refused(AttemptId id, ResultCode code, Duration retryAfter) {
            boolean mutated =
                    switch (simulation.mutation) {
                        case EVICTED_TREATED_AS_NOT_RUN -> code == ResultCode.RECORD_EVICTED;
                        case OTHER_INCARNATION_TREATED_AS_NOT_RUN -> code == ResultCode.WRONG_INCARNATION;
                        default -> false;
                    };
            ResultCode effective = mutated ? ResultCode.FENCED : code;
            toEntry(id, () -> act(lifecycle.onRefused(id, effective, retryAfter, simulation.nowMillis())));
        }

        @Override
        public void chunk(AttemptId id, StreamChunk chunk) {
            RequestFlow other = flows.get(simulation.random.nextInt(flows.size()));
            if (simulation.occurs(FaultSimulation.Fault.FRAMES_DELAYED_DUPLICATED_MISROUTED, 0.1)) {
                simulation.schedule(3, () -> post(0, () -> other.onChunk(id, chunk)));
            }
            toEntry(id, () -> onChunk(id, chunk));
        }

        @Override
        public void end(AttemptId id, StreamEnd end) {
            toEntry(id, () -> onEnd(id, end));
        }

        @Override
        public void failed(AttemptId id, ResultCode code) {
            toEntry(id, () -> act(lifecycle.onFailed(id, code, simulation.nowMillis())));
        }

        @Override
        public void linkLost(AttemptId id) {
            Attempt attempt = current;
            if (attempt != null && attempt.id.equals(id) && !attempt.linkDown) {
                attempt.linkDown = true;
                simulation.countEvent("link lost");
                long noticedMillis = simulation.randomBetween(1, 100);
                simulation.schedule(
                        noticedMillis, () -> post(0, () -> act(lifecycle.onLinkLost(id, simulation.nowMillis()))));
            }
        }
    }
}
