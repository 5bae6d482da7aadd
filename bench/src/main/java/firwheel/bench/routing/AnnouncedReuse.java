package firwheel.bench.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;

/**
 * Compares two eviction policies for a conversation index of the same capacity: LRU, and one that retains conversations
 * whose next turn was announced. The latter follows Claeys et al., "An Announcement-based Caching Approach for
 * Video-on-Demand Streaming".
 */
public final class AnnouncedReuse {
    private static final double END_SECONDS = 3_600;
    private static final double SESSIONS_PER_SECOND = 5;
    private static final double SINGLE_TURN_SHARE = 0.6;
    private static final double LAST_TURN_SHARE = 0.25;
    private static final double MEAN_THINK_SECONDS = 60;
    private static final double THINK_TIME_SIGMA = 0.8;
    private static final double ANNOUNCED_SHARE = 0.5;
    private static final double FALSE_ANNOUNCEMENT_SHARE = 0.15;
    private static final double ANNOUNCEMENT_ERROR = 0.3;
    private static final double GRACE_SECONDS = 30;

    private AnnouncedReuse() {}

    /** Prints the hit ratio of follow-up turns for several capacities and seeds. */
    public static void main(String[] args) {
        System.out.println("| entries | seed | LRU | announced |");
        System.out.println("|---|---|---|---|");
        for (int entries : new int[] {50, 100, 200, 400}) {
            for (long seed = 1; seed <= 3; seed++) {
                List<Turn> trace = trace(seed);
                System.out.printf(
                        Locale.ROOT,
                        "| %d | %d | %.3f | %.3f |%n",
                        entries,
                        seed,
                        hitRatio(trace, entries, false),
                        hitRatio(trace, entries, true));
            }
        }
    }

    /** Returns the share of follow-up turns whose conversation is still in an index of {@code capacity} entries. */
    static double hitRatio(List<Turn> trace, int capacity, boolean useAnnouncements) {
        ConversationIndex index = new ConversationIndex(capacity);
        long hits = 0;
        long laterTurns = 0;
        for (Turn turn : trace) {
            boolean hit = index.access(turn.session(), turn.seconds(), useAnnouncements ? turn.announcedSeconds() : 0);
            laterTurns += turn.first() ? 0 : 1;
            hits += hit ? 1 : 0;
        }
        return (double) hits / laterTurns;
    }

    /** Generates the turns of many conversations, ordered by time. */
    static List<Turn> trace(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Turn> turns = new ArrayList<>();
        int session = 0;
        for (double start = 0; start < END_SECONDS; start -= Math.log(1 - random.nextDouble()) / SESSIONS_PER_SECOND) {
            addSession(turns, session++, start, random);
        }
        turns.sort(Comparator.comparingDouble(Turn::seconds));
        return turns;
    }

    private static void addSession(List<Turn> turns, int session, double start, SplittableRandom random) {
        boolean single = random.nextDouble() < SINGLE_TURN_SHARE;
        double now = start;
        boolean first = true;
        while (true) {
            boolean last = single || random.nextDouble() < LAST_TURN_SHARE;
            double thinkSeconds = MEAN_THINK_SECONDS
                    * Math.exp(THINK_TIME_SIGMA * random.nextGaussian() - THINK_TIME_SIGMA * THINK_TIME_SIGMA / 2);
            boolean announces = random.nextDouble() < (last ? FALSE_ANNOUNCEMENT_SHARE : 1) * ANNOUNCED_SHARE;
            double error = 1 + ANNOUNCEMENT_ERROR * (2 * random.nextDouble() - 1);
            turns.add(new Turn(session, now, first, announces ? now + thinkSeconds * error : 0));
            if (last) {
                return;
            }
            now += thinkSeconds;
            first = false;
        }
    }

    /** One turn of a conversation; {@code announcedSeconds} is the announced time of the next turn, or 0. */
    record Turn(int session, double seconds, boolean first, double announcedSeconds) {}

    /**
     * Evicts entries without a valid announcement first, in LRU order, then the entry announced for the latest time. An
     * announcement expires {@code GRACE_SECONDS} after its time.
     */
    private static final class ConversationIndex {
        private final int capacity;
        private final Map<Integer, Entry> entries = new HashMap<>();
        private final TreeSet<Entry> unannounced =
                new TreeSet<>(Comparator.comparingDouble(Entry::usedSeconds).thenComparingInt(Entry::session));
        private final TreeSet<Entry> announced = new TreeSet<>(
                Comparator.comparingDouble(Entry::announcedSeconds).thenComparingInt(Entry::session));

        ConversationIndex(int capacity) {
            this.capacity = capacity;
        }

        boolean access(int session, double now, double announcedSeconds) {
            Entry previous = entries.remove(session);
            if (previous != null) {
                unannounced.remove(previous);
                announced.remove(previous);
            }
            Entry entry = new Entry(session, now, announcedSeconds);
            entries.put(session, entry);
            (announcedSeconds > 0 ? announced : unannounced).add(entry);
            expireAnnouncements(now);
            if (entries.size() > capacity) {
                evict();
            }
            return previous != null;
        }

        private void expireAnnouncements(double now) {
            while (!announced.isEmpty() && announced.first().announcedSeconds() + GRACE_SECONDS < now) {
                unannounced.add(announced.pollFirst());
            }
        }

        private void evict() {
            @Nullable Entry victim = unannounced.isEmpty() ? announced.pollLast() : unannounced.pollFirst();
            if (victim != null) {
                entries.remove(victim.session());
            }
        }

        private record Entry(int session, double usedSeconds, double announcedSeconds) {}
    }
}
