package firwheel.entry;

import firwheel.admission.AttemptLifecycle;
import firwheel.admission.Claim;
import firwheel.admission.ClaimOutcome;
import firwheel.admission.ClaimRequest;
import firwheel.admission.FenceOutcome;
import firwheel.admission.LifecycleAction;
import firwheel.admission.RecordedResponse;
import firwheel.admission.RequestTraits;
import firwheel.admission.ResponseHead;
import firwheel.admission.StreamChunk;
import firwheel.admission.StreamIntegrity;
import firwheel.model.AttemptId;
import firwheel.model.FirwheelException;
import firwheel.model.Outcome;
import firwheel.model.RankKey;
import firwheel.model.ResultCode;
import firwheel.model.TargetKind;
import firwheel.routing.PrefixHasher;
import firwheel.routing.RouteDecision;
import firwheel.routing.RouteRequest;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;

/** Carries out for one caller's request what its lifecycle decides. Used on the entry's event loop only. */
final class RequestRun implements AttemptExchange.Events {
    private static final Set<ResultCode> TAKES_NOTHING_NEW =
            Set.of(ResultCode.DRAINING, ResultCode.ROW_NOT_SERVING, ResultCode.TARGET_UNREACHABLE);

    private final CallerRequest request;
    private final AnswerWriter answer;
    private final AnswerAssembly assembly;
    private final RunContext context;
    private final Runnable onOver;
    private final boolean idempotent;
    private final long deadlineMillis;
    private final AttemptLifecycle lifecycle;
    private final List<Long> prefixHashes;
    private final Set<RankKey> excluded = new HashSet<>();
    private long deadlineTimer;
    private @Nullable AttemptExchange exchange;
    private @Nullable Claim claim;

    RequestRun(CallerRequest request, AnswerWriter answer, RunContext context, Runnable onOver) {
        this.request = request;
        this.answer = answer;
        this.context = context;
        this.onOver = onOver;
        assembly = new AnswerAssembly(answer, request.streaming());
        idempotent = request.safeMethod() || context.router().idempotent(request.kind(), request.servedName());
        prefixHashes = request.kind() == TargetKind.MODEL ? PrefixHasher.hash(request.body()) : List.of();
        deadlineMillis = nowMillis() + request.deadline().toMillis();
        lifecycle = new AttemptLifecycle(
                new RequestTraits(idempotent, false, deadlineMillis),
                this::tryRetry,
                () -> AttemptId.random(context.random()));
    }

    /** Claims the request's key where it needs one, then starts the first attempt. */
    void start() {
        answer.onDeparture(this::onDeparture);
        deadlineTimer = context.vertx()
                .setTimer(Math.max(1, request.deadline().toMillis()), timer -> act(lifecycle.onDeadline()));
        if (idempotent || request.idempotencyKey().isEmpty()) {
            act(lifecycle.start(nowMillis()));
            return;
        }
        var unused = context.claims().claim(claimRequest()).thenAccept(this::onClaim);
    }

    /** Ends the request with an explicit failure because this process stops. */
    void cut() {
        act(lifecycle.onShutdown());
    }

    @Override
    public void onRefused(AttemptExchange from, ResultCode code, Duration retryAfter) {
        excluded.add(from.key());
        from.close();
        if (TAKES_NOTHING_NEW.contains(code)) {
            context.router().onUnavailable(from.key());
        }
        act(lifecycle.onRefused(from.id(), code, retryAfter, nowMillis()));
    }

    @Override
    public void onHead(ResponseHead head) {
        assembly.head(head);
    }

    @Override
    public void onChunk(AttemptExchange from, StreamChunk chunk) {
        context.router().onProgress(from.key());
        boolean toCaller = assembly.piece(chunk.payload());
        lifecycle.onChunk(from.id(), toCaller);
        if (assembly.tooLarge()) {
            from.cancel();
            act(lifecycle.onResponseTooLarge(from.id()));
        } else {
            from.grant(answer);
        }
    }

    @Override
    public void onEnd(AttemptExchange from, StreamIntegrity verdict) {
        act(lifecycle.onEnd(from.id(), verdict, nowMillis()));
    }

    @Override
    public void onFailed(AttemptExchange from, ResultCode code) {
        excluded.add(from.key());
        from.close();
        act(lifecycle.onFailed(from.id(), code, nowMillis()));
    }

    @Override
    public void onFenceAnswer(AttemptExchange from, FenceOutcome fenceAnswer) {
        excluded.add(from.key());
        act(lifecycle.onFenceOutcome(from.id(), fenceAnswer, nowMillis()));
    }

    @Override
    public void onFenceUnanswered(AttemptExchange from) {
        excluded.add(from.key());
        act(lifecycle.onFenceTimeout(from.id(), nowMillis()));
    }

    @Override
    public void onLost(AttemptExchange from) {
        context.router().onUnavailable(from.key());
        act(lifecycle.onLinkLost(from.id(), nowMillis()));
    }

    /** A claimed request goes on without its caller, so that a repeat gets the recorded answer. */
    private void onDeparture() {
        boolean claimed = !idempotent && !request.idempotencyKey().isEmpty();
        if (!claimed && !lifecycle.isEnded()) {
            lifecycle.onCallerDisconnected();
            cancelExchange();
            over(CompletableFuture.completedFuture(true));
        }
    }

    private void onClaim(ClaimOutcome outcome) {
        if (outcome instanceof ClaimOutcome.Claimed claimed) {
            claim = claimed.claim();
            if (lifecycle.isEnded()) {
                var unused = context.claims().release(claimed.claim());
            } else {
                act(lifecycle.start(nowMillis()));
            }
        } else if (!lifecycle.isEnded()) {
            lifecycle.onCallerDisconnected();
            answerFromClaim(outcome);
            over(CompletableFuture.completedFuture(true));
        }
    }

    private void answerFromClaim(ClaimOutcome outcome) {
        if (outcome instanceof ClaimOutcome.Recorded recorded) {
            RecordedResponse kept = recorded.response();
            answer.whole(kept.status(), kept.contentType(), Buffer.buffer(kept.body()));
        } else if (outcome instanceof ClaimOutcome.Refused refused) {
            answer.error(failure(refused.code(), refused.retryAfter()));
        }
    }

    private void act(LifecycleAction action) {
        AttemptExchange present = exchange;
        if (action instanceof LifecycleAction.Dispatch dispatch) {
            choose(dispatch.attempt());
        } else if (action instanceof LifecycleAction.Fence && present != null) {
            present.fence();
        } else if (action instanceof LifecycleAction.Resume resume && present != null) {
            present.resume(resume.fromSequence());
        } else if (action instanceof LifecycleAction.Complete && present != null) {
            present.received();
            complete(present);
        } else if (action instanceof LifecycleAction.Fail fail) {
            cancelExchange();
            answer.error(failure(fail.code(), fail.retryAfter()));
            over(settleClaim(fail.code()));
        }
    }

    private void choose(AttemptId attempt) {
        assembly.beginAttempt();
        RouteDecision decision = context.router().choose(routeRequest(), context.links());
        if (decision instanceof RouteDecision.Refused refused) {
            act(lifecycle.onNoTarget(attempt, refused.code(), refused.retryAfter()));
        } else if (decision instanceof RouteDecision.Chosen chosen) {
            connect(attempt, chosen);
        }
    }

    private void connect(AttemptId attempt, RouteDecision.Chosen chosen) {
        if (exchange != null) {
            exchange.close();
        }
        AttemptExchange next = new AttemptExchange(attempt, chosen.key(), chosen.address(), context, this);
        exchange = next;
        var unused = context.links().link(chosen.address()).whenComplete((link, error) -> {
            if (lifecycle.isEnded()) {
                return;
            }
            if (error != null || nowMillis() >= deadlineMillis) {
                excluded.add(chosen.key());
                if (error != null) {
                    context.router().onUnavailable(chosen.key());
                }
                act(lifecycle.onNotSent(attempt, nowMillis()));
            } else {
                next.dispatch(link, request, idempotent, deadlineMillis);
            }
        });
    }

    private void complete(AttemptExchange ended) {
        context.router().onSuccess(ended.key());
        assembly.complete();
        Claim held = claim;
        over(
                held == null
                        ? CompletableFuture.completedFuture(true)
                        : context.claims().complete(held, assembly.recorded()));
    }

    private CompletableFuture<Boolean> settleClaim(ResultCode code) {
        Claim held = claim;
        if (held == null) {
            return CompletableFuture.completedFuture(true);
        }
        return code.outcome() == Outcome.NOT_RUN
                ? context.claims().release(held)
                : context.claims().markUnresolved(held);
    }

    /** The request counts as running until its answer is written and its claim settled. */
    private void over(CompletableFuture<Boolean> claimSettled) {
        context.vertx().cancelTimer(deadlineTimer);
        var unused = CompletableFuture.allOf(claimSettled, answer.written()).whenComplete((done, e) -> onOver.run());
    }

    private void cancelExchange() {
        if (exchange != null) {
            exchange.cancel();
        }
    }

    private RouteRequest routeRequest() {
        return new RouteRequest(
                request.kind(),
                request.servedName(),
                request.organisation(),
                request.priority(),
                prefixHashes,
                request.estimatedTokens(),
                excluded);
    }

    private ClaimRequest claimRequest() {
        return new ClaimRequest(
                request.organisation(),
                request.servedName(),
                request.idempotencyKey(),
                RequestDigest.of(request),
                context.time().now().plus(request.deadline()));
    }

    private boolean tryRetry() {
        return exchange == null || context.router().tryRetry(exchange.key());
    }

    private static FirwheelException failure(ResultCode code, Duration retryAfter) {
        return new FirwheelException(code, code.summary(), retryAfter);
    }

    private long nowMillis() {
        return context.time().monotonicMillis();
    }
}
