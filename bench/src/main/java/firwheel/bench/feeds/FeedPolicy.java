package firwheel.bench.feeds;

import java.time.Duration;

/**
 * A way in which entries keep up with the store.
 *
 * @param name name for reports
 * @param sharing which entries hear what an entry reads
 * @param pollWait time for which a poll waits for a change where nothing is shared
 * @param pollInterval least time between two polls of an entry
 */
public record FeedPolicy(String name, Sharing sharing, Duration pollWait, Duration pollInterval) {
    private static final Duration POLL_WAIT = Duration.ofSeconds(3);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(200);

    /** Which entries hear what an entry reads. */
    public enum Sharing {
        /** Each entry reads for itself. */
        NONE,
        /** The entries of a zone have a reader of their own. */
        ZONE,
        /** All entries have one reader. */
        DEPLOYMENT
    }

    /** Each entry polls all the time. */
    public static FeedPolicy independent() {
        return new FeedPolicy("independent", Sharing.NONE, POLL_WAIT, POLL_INTERVAL);
    }

    /** Each entry polls with longer waits and fetches the changes of a second together. */
    public static FeedPolicy batched() {
        return new FeedPolicy("batched", Sharing.NONE, Duration.ofSeconds(10), Duration.ofSeconds(1));
    }

    /** One entry of each zone reads for the others there. */
    public static FeedPolicy zoneReaders() {
        return new FeedPolicy("zone readers", Sharing.ZONE, POLL_WAIT, POLL_INTERVAL);
    }

    /** One entry reads for all others. */
    public static FeedPolicy oneReader() {
        return new FeedPolicy("one reader", Sharing.DEPLOYMENT, POLL_WAIT, POLL_INTERVAL);
    }
}
