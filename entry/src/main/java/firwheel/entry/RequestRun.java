package firwheel.entry;

import firwheel.model.AttemptId;
import firwheel.model.FirwheelException;
import firwheel.model.Outcome;
import firwheel.model.RankKey;
import firwheel.model.ResultCode;
import firwheel.model.TargetKind;
import firwheel.model.TimeSource;
import firwheel.routing.PrefixHasher;
import firwheel.routing.RouteDecision;
import firwheel.routing.RouteRequest;
import firwheel.wire.AttemptMessage;
import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.zip.CRC32C;
import org.jspecify.annotations.Nullable;

/**
 * Runs one caller's request: chooses a rank, dispatches, passes the answer on, and tries another rank only where the
 * attempt provably did not run, or the request is idempotent and nothing has reached the caller.
 */
final class RequestRun {
    private static final int MAX_ATTEMPTS = 3;
    private static final Duration RETRY_BUDGET_WAIT = Duration.ofSeconds(1);
    private static final int CREDIT_CHUNKS = 64;
    private static final Set<ResultCode> TAKES_NOTHING_NEW =
            Set.of(ResultCode.DRAINING, ResultCode.ROW_NOT_SERVING, ResultCode.TARGET_UNREACHABLE);
    private static final byte[] TERMINATING_EVENT = "data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);

    private final CallerRequest request;
    private final AnswerWriter answer;
    private final AgentLinks links;
    private final Router router;
    private final TimeSource time;
    private final SplittableRandom random;
    private final Runnable onOver;
    private final long deadlineNanos;
    private final List<Long> prefixHashes;
    private final Set<RankKey> excluded = new HashSet<>();
    private int attempts;
    private @Nullable Attempt current;
    private boolean over;

    RequestRun(
            CallerRequest request,
            AnswerWriter answer,
            AgentLinks links,
            Router router,
            TimeSource time,
            SplittableRandom random,
            Runnable onOver) {
        this.request = request;
        this.answer = answer;
        this.links = links;
        this.router = router;
        this.time = time;
        this.random = random;
        this.onOver = onOver;
        prefixHashes = request.kind() == TargetKind.MODEL ? PrefixHasher.hash(request.body()) : List.of();
        deadlineNanos = time.monotonicNanos() + request.deadline().toNanos();
    }

    /** Starts the first attempt. */
    void start() {
        answer.onDeparture(this::onDeparture);
        nextAttempt();
    }

    /** Ends the request with a failure, whatever state it is in. */
    void abort(FirwheelException reason) {
        if (over) {
            return;
        }
        if (current != null) {
            current.abandon();
        }
        finish(() -> answer.error(reason));
    }

    private void nextAttempt() {
        if (remaining().isNegative()) {
            finish(() -> answer.error(new FirwheelException(ResultCode.DEADLINE_TOO_SHORT, "no time left")));
            return;
        }
        attempts++;
        RouteDecision decision = router.choose(routeRequest(), links);
        if (decision instanceof RouteDecision.Refused refused) {
            finish(() -> answer.error(
                    new FirwheelException(refused.code(), refused.code().summary(), refused.retryAfter())));
        } else if (decision instanceof RouteDecision.Chosen chosen) {
            connect(chosen);
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

    private void connect(RouteDecision.Chosen chosen) {
        var unused = links.link(chosen.address()).whenComplete((link, error) -> {
            if (over) {
                return;
            }
            if (error != null) {
                router.onUnavailable(chosen.key());
                retryOr(chosen.key(), new FirwheelException(ResultCode.TARGET_UNREACHABLE, "no link to the agent"));
            } else {
                dispatch(chosen, link);
            }
        });
    }

    private void dispatch(RouteDecision.Chosen chosen, AgentLink link) {
        Attempt attempt = new Attempt(AttemptId.random(random), chosen.key(), link);
        current = attempt;
        router.onDispatch(attempt.key, request.estimatedTokens());
        link.dispatch(
                new AttemptMessage.Dispatch(
                        attempt.id,
                        link.agentIncarnation(),
                        chosen.key().row(),
                        chosen.key().rank(),
                        request.organisation(),
                        request.priority().name(),
                        repeatable(chosen.key()),
                        request.method(),
                        request.targetPath(),
                        request.contentType(),
                        request.idempotencyKey(),
                        request.body(),
                        remaining().toMillis(),
                        request.estimatedTokens(),
                        CREDIT_CHUNKS),
                attempt);
    }

    private boolean repeatable(RankKey key) {
        return request.safeMethod() || router.idempotent(key);
    }

    private void retryOr(RankKey failed, FirwheelException reason) {
        current = null;
        excluded.add(failed);
        boolean notRun = reason.code().outcome() == Outcome.NOT_RUN;
        boolean mayRepeat = notRun || repeatable(failed);
        if (mayRepeat
                && !answer.started()
                && attempts < MAX_ATTEMPTS
                && !remaining().isNegative()) {
            retry(failed, reason);
        } else {
            finish(() -> answer.error(reason));
        }
    }

    private void retry(RankKey failed, FirwheelException reason) {
        if (router.tryRetry(failed)) {
            nextAttempt();
        } else if (reason.code().outcome() == Outcome.NOT_RUN) {
            String detail = "the last attempt ended with " + reason.code().label();
            finish(() -> answer.error(
                    new FirwheelException(ResultCode.RETRY_BUDGET_SPENT, detail, RETRY_BUDGET_WAIT, reason)));
        } else {
            finish(() -> answer.error(reason));
        }
    }

    private void onDeparture() {
        if (current != null) {
            current.abandon();
        }
        finish(() -> {});
    }

    private void finish(Runnable lastStep) {
        if (!over) {
            over = true;
            current = null;
            lastStep.run();
            onOver.run();
        }
    }

    private Duration remaining() {
        return Duration.ofNanos(deadlineNanos - time.monotonicNanos());
    }

    /** One dispatched attempt. */
    private final class Attempt implements AgentLink.Listener {
        private final AttemptId id;
        private final RankKey key;
        private final AgentLink link;
        private final CRC32C checksum = new CRC32C();
        private final Buffer body = Buffer.buffer();
        private AttemptMessage.@Nullable Head head;
        private @Nullable Buffer terminatingEvent;
        private long nextSequence;
        private boolean closed;

        Attempt(AttemptId id, RankKey key, AgentLink link) {
            this.id = id;
            this.key = key;
            this.link = link;
        }

        void abandon() {
            close();
            link.send(new AttemptMessage.Cancel(id));
        }

        /** Ends the attempt as far as this entry is concerned; later calls do nothing. */
        private void close() {
            if (!closed) {
                closed = true;
                link.forget(id);
                router.onFinish(key, request.estimatedTokens());
            }
        }

        @Override
        public void onMessage(AttemptMessage message) {
            if (current != this) {
                return;
            }
            if (message instanceof AttemptMessage.Head newHead) {
                onHead(newHead);
            } else if (message instanceof AttemptMessage.Chunk chunk) {
                onChunk(chunk);
            } else if (message instanceof AttemptMessage.End end) {
                onEnd(end);
            } else if (message instanceof AttemptMessage.Refused refused) {
                onRefused(refused);
            } else if (message instanceof AttemptMessage.Failed failed) {
                close();
                retryOr(key, new FirwheelException(ResultCode.ofNumber(failed.code()), failed.detail()));
            }
        }

        private void onRefused(AttemptMessage.Refused refused) {
            close();
            ResultCode code = ResultCode.ofNumber(refused.code());
            if (TAKES_NOTHING_NEW.contains(code)) {
                router.onUnavailable(key);
            }
            Duration retryAfter = Duration.ofMillis(refused.retryAfterMillis());
            retryOr(key, new FirwheelException(code, refused.detail(), retryAfter));
        }

        @Override
        public void onLinkLost() {
            close();
            router.onUnavailable(key);
            if (current == this) {
                retryOr(key, new FirwheelException(ResultCode.OUTCOME_UNKNOWN, "link lost after dispatch"));
            }
        }

        private void onHead(AttemptMessage.Head newHead) {
            head = newHead;
            if (passThrough()) {
                answer.startStream(newHead.status(), newHead.contentType());
            }
        }

        private boolean passThrough() {
            return request.streaming() && head != null && head.contentType().startsWith("text/event-stream");
        }

        private void onChunk(AttemptMessage.Chunk chunk) {
            if (chunk.sequence() != nextSequence) {
                return;
            }
            nextSequence++;
            router.onProgress(key);
            checksum.update(chunk.data());
            Buffer data = Buffer.buffer(chunk.data());
            if (!passThrough()) {
                body.appendBuffer(data);
            } else if (Arrays.equals(chunk.data(), TERMINATING_EVENT)) {
                terminatingEvent = data;
            } else {
                answer.piece(data);
            }
            grantCredit();
        }

        private void grantCredit() {
            if (answer.isFull()) {
                answer.onDrain(() -> link.send(new AttemptMessage.Credit(id, 1)));
            } else {
                link.send(new AttemptMessage.Credit(id, 1));
            }
        }

        private void onEnd(AttemptMessage.End end) {
            close();
            if (end.chunkCount() != nextSequence || end.crc32c() != (int) checksum.getValue() || head == null) {
                retryOr(key, new FirwheelException(ResultCode.CHECKSUM_MISMATCH, "answer is not whole"));
                return;
            }
            router.onSuccess(key);
            int status = head.status();
            String contentType = head.contentType();
            finish(() -> {
                if (answer.started()) {
                    if (terminatingEvent != null) {
                        answer.piece(terminatingEvent);
                    }
                    answer.endStream();
                } else {
                    answer.whole(status, contentType, body);
                }
            });
        }
    }
}
