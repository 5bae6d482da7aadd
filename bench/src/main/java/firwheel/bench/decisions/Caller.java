package firwheel.bench.decisions;

import firwheel.bench.VirtualEventLoop;
import java.time.Duration;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/** A caller that returns after refusals and broken responses as often as it may, and leaves after a time. */
final class Caller {
    private static final double MAX_DELAY_SHARE = 1.0 / 3; // of the remaining time
    private static final Duration RECONNECT_DELAY = Duration.ofMillis(100);

    /** What a caller got. */
    enum Result {
        IN_AIM,
        LATE,
        REFUSED,
        FAILED
    }

    private final VirtualEventLoop loop;
    private final EmulatedDay day;
    private final int zone;
    private final long arrivedNanos;
    private final int promptTokens;
    private final Consumer<Caller> send;
    private final Consumer<Caller> onEnd;
    private int eventsLeft;
    private int retriesLeft;
    private int refusals;
    private long lastEventNanos = -1;
    private boolean late;
    private long attemptNumber;
    private @Nullable EmulatedRequest attempt;
    private @Nullable Result result;

    Caller(
            VirtualEventLoop loop,
            EmulatedDay day,
            int zone,
            int promptTokens,
            int events,
            Consumer<Caller> send,
            Consumer<Caller> onEnd) {
        this.loop = loop;
        this.day = day;
        this.zone = zone;
        this.promptTokens = promptTokens;
        this.send = send;
        this.onEnd = onEnd;
        eventsLeft = events;
        retriesLeft = day.retries();
        arrivedNanos = loop.nowNanos();
    }

    int zone() {
        return zone;
    }

    long arrivedNanos() {
        return arrivedNanos;
    }

    long deadlineNanos() {
        return arrivedNanos + day.deadline().toNanos();
    }

    int promptTokens() {
        return promptTokens;
    }

    int eventsLeft() {
        return eventsLeft;
    }

    boolean returned() {
        return retriesLeft < day.retries();
    }

    boolean gone() {
        return result != null;
    }

    int refusals() {
        return refusals;
    }

    @Nullable
    Result result() {
        return result;
    }

    void setAttempt(EmulatedRequest request) {
        attempt = request;
    }

    /** Sends the request to an entry, and leaves if nothing is received in time. */
    void start() {
        long number = ++attemptNumber;
        long patienceNanos = Math.min(day.patience().toNanos(), deadlineNanos() - loop.nowNanos());
        loop.schedule(patienceNanos, () -> {
            if (number == attemptNumber && lastEventNanos < 0) {
                end(Result.FAILED);
            }
        });
        loop.schedule(EmulatedNetwork.CLIENT_DELAY.toNanos(), () -> send.accept(this));
    }

    /** The entry does not accept connections; this is not counted as a refusal. */
    void onNotConnected() {
        loop.schedule(RECONNECT_DELAY.toNanos(), () -> {
            if (!gone()) {
                send.accept(this);
            }
        });
    }

    void onRefused(Duration retryAfter) {
        refusals++;
        long longestNanos = (long) ((deadlineNanos() - loop.nowNanos()) * MAX_DELAY_SHARE);
        returnAfter(Duration.ofNanos(Math.min(retryAfter.toNanos(), longestNanos)), Result.REFUSED);
    }

    void onConnectionClosed() {
        returnAfter(RECONNECT_DELAY, Result.FAILED);
    }

    private void returnAfter(Duration delay, Result otherwise) {
        attemptNumber++;
        if (gone()) {
            return;
        }
        if (retriesLeft == 0 || loop.nowNanos() + delay.toNanos() >= deadlineNanos()) {
            end(otherwise);
            return;
        }
        retriesLeft--;
        loop.schedule(delay.toNanos(), this::start);
    }

    void onEvent() {
        long now = loop.nowNanos();
        boolean first = lastEventNanos < 0;
        long limitNanos =
                first ? day.objective().toNanos() : day.pauseObjective().toNanos();
        late |= now - (first ? arrivedNanos : lastEventNanos) > limitNanos;
        lastEventNanos = now;
        eventsLeft--;
    }

    void onComplete() {
        boolean inTime = loop.nowNanos() <= deadlineNanos();
        end(!inTime ? Result.FAILED : late ? Result.LATE : Result.IN_AIM);
    }

    private void end(Result ended) {
        if (result != null) {
            return;
        }
        result = ended;
        EmulatedRequest last = attempt;
        if (last != null && ended == Result.FAILED) {
            last.cancel();
        }
        onEnd.accept(this);
    }
}
