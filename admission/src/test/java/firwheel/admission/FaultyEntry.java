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

/** One entry with the real lifecycle, assembler and claims, on links that lose, double and delay frames. */
final class FaultyEntry {
    private static final int ADMIT_WINDOW_MILLIS = 1000;
    private static final int FENCE_TIMEOUT_MILLIS = 200;

    private final FaultWorld world;
    private final List<FaultyAgent> agents;
    private final ClaimService claims;
    private final List<Flow> flows = new ArrayList<>();
    private long pausedUntilMillis;
    private boolean killed;

    FaultyEntry(FaultWorld world, List<FaultyAgent> agents, FaultyStore store) {
        this.world = world;
        this.agents = agents;
        this.claims = new ClaimService(
                store,
                task -> post(0, task),
                (delay, task) -> post(delay.toMillis(), task),
                () -> world.newAttemptId().toString(),
                world.time);
        if (world.has(FaultWorld.Fault.ENTRY_KILL, 0.7)) {
            world.after(world.between(1, 1500), () -> killed = true);
        }
        if (world.has(FaultWorld.Fault.ENTRY_PAUSE, 0.7)) {
            world.after(world.between(1, 1500), () -> pausedUntilMillis = world.nowMillis() + world.between(300, 6000));
        }
    }

    boolean killed() {
        return killed;
    }

    void submit(FaultWorld.Request request) {
        post(0, () -> {
            Flow flow = new Flow(request);
            flows.add(flow);
            flow.begin();
        });
    }

    /** Runs a task on this process, unless it was killed; a paused process runs it when it wakes. */
    private void post(long millis, Runnable task) {
        world.after(millis, () -> {
            if (killed) {
                return;
            }
            if (world.nowMillis() < pausedUntilMillis) {
                post(pausedUntilMillis - world.nowMillis(), task);
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
        private boolean linkDead;
        private long lastArrivalMillis;

        private Attempt(AttemptId id, FaultyAgent agent) {
            this.id = id;
            this.agent = agent;
            this.incarnation = agent.incarnation();
            this.admitByMillis = agent.clockMillis() + ADMIT_WINDOW_MILLIS;
            this.assembler = new StreamAssembler(id);
        }
    }

    private final class Flow implements FaultyAgent.Peer {
        private final FaultWorld.Request request;
        private final AttemptLifecycle lifecycle;
        private final StringBuilder delivered = new StringBuilder();
        private int deliveredChunks;
        private @Nullable Attempt current;
        private @Nullable Claim claim;

        private Flow(FaultWorld.Request request) {
            this.request = request;
            boolean mutated = world.mutation == FaultWorld.Mutation.UNKNOWN_RETRIED;
            RequestTraits traits = new RequestTraits(
                    request.idempotent() || mutated, world.random.nextBoolean(), request.deadlineMillis());
            lifecycle = new AttemptLifecycle(traits, () -> world.random.nextInt(10) > 0, world::newAttemptId);
        }

        private void begin() {
            post(Math.max(0, request.deadlineMillis() - world.nowMillis()), () -> act(lifecycle.onDeadline()));
            if (!request.keyed()) {
                act(lifecycle.start(world.nowMillis()));
                return;
            }
            ClaimRequest wanted = new ClaimRequest(
                    "org",
                    "orders",
                    request.subject(),
                    "digest",
                    world.time.now().plusMillis(1000));
            CompletableFuture<?> unused = claims.claim(wanted).thenAccept(this::onClaim);
        }

        private void onClaim(ClaimOutcome outcome) {
            world.saw("claim " + outcome.getClass().getSimpleName());
            if (outcome instanceof ClaimOutcome.Claimed claimed) {
                claim = claimed.claim();
                if (lifecycle.isEnded()) {
                    settle(ResultCode.DEADLINE_TOO_SHORT);
                } else {
                    act(lifecycle.start(world.nowMillis()));
                }
            } else if (!lifecycle.isEnded()) {
                answerWithoutRun(outcome);
            }
        }

        private void answerWithoutRun(ClaimOutcome outcome) {
            if (outcome instanceof ClaimOutcome.Refused refused) {
                world.saw("claim " + refused.code());
                if (world.mutation == FaultWorld.Mutation.CLAIM_TAKEN_OVER
                        && refused.code() == ResultCode.CLAIM_UNRESOLVED) {
                    act(lifecycle.start(world.nowMillis()));
                    return;
                }
                world.told.add(new FaultWorld.Told(request, refused.code(), ""));
            } else if (outcome instanceof ClaimOutcome.Recorded recorded) {
                String body = new String(recorded.response().body(), StandardCharsets.UTF_8);
                world.told.add(new FaultWorld.Told(request, null, body));
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
            Attempt attempt = new Attempt(id, agents.get(world.random.nextInt(agents.size())));
            current = attempt;
            if (world.has(FaultWorld.Fault.LINK_LOSS, 0.1)) {
                post(5, () -> act(lifecycle.onNotSent(id, world.nowMillis())));
                return;
            }
            long remainingMillis = request.deadlineMillis() - world.nowMillis();
            AttemptDescriptor ticket = new AttemptDescriptor(
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
                            () -> attempt.agent.dispatch(new FaultyAgent.Dispatch(ticket, request, firstChunk, this))));
        }

        private void fence() {
            Attempt attempt = attempt();
            attempt.linkDead = false;
            post(FENCE_TIMEOUT_MILLIS, () -> act(lifecycle.onFenceTimeout(attempt.id, world.nowMillis())));
            toAgent(attempt, () -> {
                FenceOutcome answer = attempt.agent.fence(attempt.id, attempt.incarnation, attempt.admitByMillis);
                toEntry(attempt.id, () -> onFenceAnswer(attempt, answer));
            });
        }

        private void onFenceAnswer(Attempt attempt, FenceOutcome answer) {
            boolean mutated = world.mutation == FaultWorld.Mutation.FORGOTTEN_TAKEN_AS_NOT_RUN
                    && answer instanceof FenceOutcome.Unknown;
            FenceOutcome taken = mutated ? new FenceOutcome.NeverAdmitted() : answer;
            act(lifecycle.onFenceOutcome(attempt.id, taken, world.nowMillis()));
        }

        private void finish(@Nullable ResultCode code) {
            world.told.add(new FaultWorld.Told(request, code, delivered.toString()));
            settle(code);
        }

        private void settle(@Nullable ResultCode code) {
            Claim held = claim;
            if (held == null) {
                return;
            }
            CompletableFuture<Boolean> unused;
            if (code == null) {
                byte[] body = delivered.toString().getBytes(StandardCharsets.UTF_8);
                unused = claims.complete(held, new RecordedResponse(200, "text/plain", body));
            } else if (code.outcome() == Outcome.NOT_RUN) {
                unused = claims.release(held);
            } else {
                unused = claims.markUnresolved(held);
            }
        }

        private Attempt attempt() {
            return Objects.requireNonNull(current);
        }

        private void toAgent(Attempt attempt, Runnable arrive) {
            if (world.has(FaultWorld.Fault.LINK_LOSS, 0.1)) {
                linkLost(attempt.id);
                return;
            }
            if (world.has(FaultWorld.Fault.LINK_LOSS, 0.1)) {
                world.after(world.between(1, 1500), arrive);
                linkLost(attempt.id);
                return;
            }
            transmit(attempt, arrive);
        }

        private void toEntry(AttemptId id, Runnable arrive) {
            Attempt attempt = current;
            if (attempt == null || !attempt.id.equals(id)) {
                world.after(world.between(1, 5), () -> post(0, arrive));
            } else if (!attempt.linkDead && world.has(FaultWorld.Fault.LINK_LOSS, 0.05)) {
                linkLost(id);
            } else if (!attempt.linkDead) {
                transmit(attempt, () -> post(0, arrive));
            }
        }

        /** Frames keep their order on a link, unless the seed's faults include late and doubled ones. */
        private void transmit(Attempt attempt, Runnable arrive) {
            long arrivalMillis = Math.max(attempt.lastArrivalMillis, world.nowMillis() + world.between(1, 5));
            attempt.lastArrivalMillis = arrivalMillis;
            long delayMillis = arrivalMillis - world.nowMillis();
            if (world.has(FaultWorld.Fault.FRAMES_LATE_DOUBLED_FOREIGN, 0.2)) {
                world.after(delayMillis + world.between(0, 2000), arrive);
            }
            boolean late = world.has(FaultWorld.Fault.FRAMES_LATE_DOUBLED_FOREIGN, 0.1);
            world.after(late ? delayMillis + world.between(0, 500) : delayMillis, arrive);
        }

        private void onChunk(AttemptId from, StreamChunk chunk) {
            Attempt attempt = current;
            if (attempt == null || lifecycle.isEnded()) {
                return;
            }
            boolean next = attempt.assembler.accept(from, chunk);
            if (next || world.mutation == FaultWorld.Mutation.CHUNKS_UNCHECKED) {
                delivered.append(new String(chunk.payload(), StandardCharsets.UTF_8));
                deliveredChunks++;
                lifecycle.onChunk(attempt.id, true);
            } else {
                world.saw("frame dropped");
            }
        }

        private void onEnd(AttemptId from, StreamEnd end) {
            Attempt attempt = current;
            if (attempt != null && !lifecycle.isEnded()) {
                StreamIntegrity verdict = attempt.assembler.end(from, end);
                world.saw("stream " + verdict);
                boolean mutated = world.mutation == FaultWorld.Mutation.CHUNKS_UNCHECKED;
                act(lifecycle.onEnd(from, mutated ? StreamIntegrity.COMPLETE : verdict, world.nowMillis()));
            }
        }

        @Override
        public void refused(AttemptId id, ResultCode code, Duration retryAfter) {
            boolean mutated =
                    switch (world.mutation) {
                        case FORGOTTEN_TAKEN_AS_NOT_RUN -> code == ResultCode.RECORD_EVICTED;
                        case OTHER_INCARNATION_TAKEN_AS_NOT_RUN -> code == ResultCode.WRONG_INCARNATION;
                        default -> false;
                    };
            ResultCode taken = mutated ? ResultCode.FENCED : code;
            toEntry(id, () -> act(lifecycle.onRefused(id, taken, retryAfter, world.nowMillis())));
        }

        @Override
        public void chunk(AttemptId id, StreamChunk chunk) {
            Flow other = flows.get(world.random.nextInt(flows.size()));
            if (world.has(FaultWorld.Fault.FRAMES_LATE_DOUBLED_FOREIGN, 0.1)) {
                world.after(3, () -> post(0, () -> other.onChunk(id, chunk)));
            }
            toEntry(id, () -> onChunk(id, chunk));
        }

        @Override
        public void end(AttemptId id, StreamEnd end) {
            toEntry(id, () -> onEnd(id, end));
        }

        @Override
        public void failed(AttemptId id, ResultCode code) {
            toEntry(id, () -> act(lifecycle.onFailed(id, code, world.nowMillis())));
        }

        @Override
        public void linkLost(AttemptId id) {
            Attempt attempt = current;
            if (attempt != null && attempt.id.equals(id) && !attempt.linkDead) {
                attempt.linkDead = true;
                world.saw("link lost");
                long noticedMillis = world.between(1, 100);
                world.after(noticedMillis, () -> post(0, () -> act(lifecycle.onLinkLost(id, world.nowMillis()))));
            }
        }
    }
}
