package firwheel.mesh;

import firwheel.model.TimeSource;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.DoubleSupplier;
import org.jspecify.annotations.Nullable;

/**
 * Decides whether this process polls the platform's store or follows another process that does. A process that polls
 * announces each answer of the store. The others read the store themselves as soon as the newest answer that they know
 * of is too old, each after another random delay, and so become readers until they hear of a better one. There is no
 * election: any process that hears no answers reads, whatever the reason. Performs no I/O; not thread-safe.
 *
 * <p>The load that this answers is that of many processes which all need to know the same rows within a time limit.
 */
public final class ReaderRole {
    private static final int MAX_READERS = 1_024; // more than the processes of the largest deployment

    /**
     * Time limits of a reader's answers.
     *
     * @param maxAge age of the newest known answer at which a process reads the store itself
     * @param spread time over which the processes spread these reads
     */
    public record Limits(Duration maxAge, Duration spread) {
        private static final double MAX_AGE_SHARE = 0.6;
        private static final double SPREAD_SHARE = 0.15; // the rest of the limit is for the read itself

        /** Returns limits with which a change is known within {@code bound} although readers fail or are cut off. */
        public static Limits forBound(Duration bound) {
            return new Limits(share(bound, MAX_AGE_SHARE), share(bound, SPREAD_SHARE));
        }

        /** Returns how long a reader's poll waits for changes; its answer arrives before others read themselves. */
        public Duration pollWait() {
            return share(maxAge, 0.8);
        }

        private static Duration share(Duration duration, double share) {
            return Duration.ofNanos((long) (duration.toNanos() * share));
        }
    }

    /**
     * Identifies one answer of the store.
     *
     * @param ip IP address of the process that got the answer
     * @param incarnation start time of that process
     * @param sequence number that the process increments with each answer
     */
    public record Answer(String ip, long incarnation, long sequence) {}

    private final TimeSource time;
    private final DoubleSupplier random;
    private final String selfIp;
    private final Limits limits;
    private final Map<String, Answer> announced = new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Answer> eldest) {
            return size() > MAX_READERS;
        }
    };
    private boolean reading;
    private boolean lastCallFailed;
    private @Nullable Long answeredNanos;
    private long readNanos;

    /**
     * Creates the role of a process that has just started and does not hear announcements yet.
     *
     * @param random source of numbers from 0 to 1
     */
    public ReaderRole(TimeSource time, DoubleSupplier random, String selfIp, Limits limits) {
        this.time = time;
        this.random = random;
        this.selfIp = selfIp;
        this.limits = limits;
        postponeRead();
    }

    /**
     * Records that announcements arrive from now on. This process waits for them only for a moment, since all readers
     * may have been restarted.
     */
    public void onJoined() {
        readNanos = Math.min(readNanos, time.monotonicNanos() + randomDelayNanos());
    }

    /** Returns whether this process polls the store. */
    public boolean reading() {
        return reading;
    }

    /**
     * Returns the time since the store last answered this process or one whose announcement has arrived, or null if
     * neither has happened.
     */
    public @Nullable Duration answerAge() {
        return answeredNanos == null ? null : Duration.ofNanos(time.monotonicNanos() - answeredNanos);
    }

    /** Returns the time until this process has to read the store if no answer is announced; zero if it reads. */
    public Duration untilRead() {
        long remainingNanos = readNanos - time.monotonicNanos();
        return reading || remainingNanos <= 0 ? Duration.ZERO : Duration.ofNanos(remainingNanos);
    }

    /** Makes this process a reader. */
    public void startReading() {
        reading = true;
    }

    /** Records that the store has answered this process. */
    public void onAnswer() {
        lastCallFailed = false;
        answeredNanos = time.monotonicNanos();
        if (reading) {
            postponeRead();
        }
    }

    /** Records that a call of this process to the store has failed. */
    public void onFailure() {
        lastCallFailed = true;
    }

    /**
     * Records that the store does not answer a process which polls it. This process reads the store after a random delay
     * unless it hears of an answer before, so that it is soon known whether the store answers others.
     */
    public void onReaderUnanswered() {
        readNanos = Math.min(readNanos, time.monotonicNanos() + randomDelayNanos());
    }

    /**
     * Records an answer that another process announces. Returns whether it is news; announcements may arrive twice, or
     * late through a process that was suspended. This process follows the other one if the store does not answer it, or
     * if the other one's address is lower, so that one of several readers remains.
     */
    public boolean onAnnounced(Answer answer) {
        Answer known = announced.get(answer.ip());
        boolean news =
                known == null || known.incarnation() != answer.incarnation() || answer.sequence() > known.sequence();
        if (!news) {
            return false;
        }
        announced.put(answer.ip(), answer);
        answeredNanos = time.monotonicNanos();
        postponeRead();
        if (lastCallFailed || answer.ip().compareTo(selfIp) < 0) {
            reading = false;
        }
        return true;
    }

    private void postponeRead() {
        readNanos = time.monotonicNanos() + limits.maxAge().toNanos() + randomDelayNanos();
    }

    private long randomDelayNanos() {
        return (long) (random.getAsDouble() * limits.spread().toNanos());
    }
}
