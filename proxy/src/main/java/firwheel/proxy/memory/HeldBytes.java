package firwheel.proxy.memory;

import firwheel.model.EventCode;
import firwheel.model.Events;
import firwheel.model.TimeSource;
import java.time.Duration;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Accounts for the bytes that a process keeps for callers and targets, and bounds their sum. When it is exceeded, what
 * keeps most gives way; what keeps little never does. Not thread-safe.
 */
public final class HeldBytes {
    /** What bytes are kept for. */
    public enum Kind {
        /** Heads that a client has sent on one connection, and what has not been decoded. */
        HEAD,
        /** Body of a request, until it can no longer be sent. */
        REQUEST,
        /** Content of a response that is passed on once it is complete. */
        RESPONSE,
        /** Beginning of an event of a stream. */
        EVENT,
        /** What a caller has not read yet. */
        UNREAD
    }

    /** Bytes that are kept for one purpose. Closed when they are no longer kept. */
    public final class Share {
        private final Kind kind;
        private final BooleanSupplier mayGiveWay;
        private final Runnable giveWay;
        private long bytes;
        private boolean closed;

        private Share(Kind kind, BooleanSupplier mayGiveWay, Runnable giveWay) {
            this.kind = kind;
            this.mayGiveWay = mayGiveWay;
            this.giveWay = giveWay;
        }

        /** Returns the number of bytes kept. */
        public long bytes() {
            return bytes;
        }

        /** Returns whether the bytes are no longer kept, maybe because they had to give way. */
        public boolean isClosed() {
            return closed;
        }

        /**
         * Sets the number of bytes to be kept. Returns whether they may be; if not, this share has given way. Other
         * shares may have given way too.
         */
        public boolean set(long newBytes) {
            if (closed) {
                return false;
            }
            boolean more = newBytes > bytes;
            record(newBytes);
            if (more) {
                makeRoom();
            }
            return !closed;
        }

        /** Records that the bytes are no longer kept. */
        public void close() {
            if (!closed) {
                record(0);
                closed = true;
            }
        }

        private void record(long newBytes) {
            total += newBytes - bytes;
            peak = Math.max(peak, total);
            bytes = newBytes;
            if (bytes > SMALL_BYTES) {
                large.add(this);
            } else {
                large.remove(this);
            }
        }
    }

    /** What keeps no more than this never gives way. */
    public static final int SMALL_BYTES = 16 * 1024;

    // The rest is for the state of the process and for copies of what is being read and written.
    private static final double SHARE_OF_HEAP = 1 / 3.0;
    private static final Duration LOG_INTERVAL = Duration.ofSeconds(1);
    private static final Logger logger = LoggerFactory.getLogger(HeldBytes.class);

    private final TimeSource time;
    private final long limitBytes;
    private final Set<Share> large = new HashSet<>();
    private final Map<Kind, Long> givenUp = new EnumMap<>(Kind.class);
    private long total;
    private long peak;
    private long loggedNanos;
    private long notLogged;

    /** Creates an account without bytes. */
    public HeldBytes(TimeSource time, long limitBytes) {
        if (limitBytes < SMALL_BYTES) {
            throw new IllegalArgumentException("limit of " + limitBytes + " bytes is below " + SMALL_BYTES);
        }
        this.time = time;
        this.limitBytes = limitBytes;
        loggedNanos = time.monotonicNanos() - LOG_INTERVAL.toNanos();
    }

    /** Creates an account whose limit is a share of the heap that this process may use. */
    public static HeldBytes ofHeap(TimeSource time) {
        return new HeldBytes(time, (long) (Runtime.getRuntime().maxMemory() * SHARE_OF_HEAP));
    }

    /**
     * Opens a share without bytes.
     *
     * @param mayGiveWay whether the bytes can be given up now
     * @param giveWay gives up what the bytes are kept for; the share is closed after it
     */
    public Share open(Kind kind, BooleanSupplier mayGiveWay, Runnable giveWay) {
        return new Share(kind, mayGiveWay, giveWay);
    }

    /** Returns the number of bytes kept. */
    public long total() {
        return total;
    }

    /** Returns the highest number of bytes that were kept at a time. */
    public long peak() {
        return peak;
    }

    /** Returns the number of bytes above which what keeps most gives way. */
    public long limitBytes() {
        return limitBytes;
    }

    /** Returns how often bytes of a kind had to give way. */
    public long givenUp(Kind kind) {
        return givenUp.getOrDefault(kind, 0L);
    }

    private void makeRoom() {
        while (total > limitBytes) {
            Optional<Share> largest = large.stream()
                    .filter(share -> share.mayGiveWay.getAsBoolean())
                    .max(Comparator.comparingLong(share -> share.bytes));
            if (largest.isEmpty()) {
                return;
            }
            Share share = largest.get();
            givenUp.merge(share.kind, 1L, Long::sum);
            log(share);
            share.giveWay.run();
            share.close();
        }
    }

    private void log(Share share) {
        long now = time.monotonicNanos();
        if (now - loggedNanos < LOG_INTERVAL.toNanos()) {
            notLogged++;
            return;
        }
        loggedNanos = now;
        Events.log(
                logger,
                EventCode.BYTES_GIVEN_UP,
                "kind",
                share.kind,
                "bytes",
                share.bytes,
                "heldBytes",
                total,
                "limitBytes",
                limitBytes,
                "largeShares",
                large.size(),
                "notLogged",
                notLogged);
        notLogged = 0;
    }
}
