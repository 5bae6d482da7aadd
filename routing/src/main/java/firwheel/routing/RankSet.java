package firwheel.routing;

import java.util.Arrays;
import java.util.List;

/** The ranks that serve one model or service in one zone or in all zones, with a consistent-hash ring of them. */
final class RankSet {
    static final RankSet EMPTY = new RankSet(List.of());

    private static final int POINTS_PER_RANK = 16;

    private final List<RankGroup> groups;
    private final RankCandidate[] ranks;
    private final long[] ringPoints;
    private final int[] ringRanks;

    RankSet(List<RankGroup> groups) {
        this.groups = List.copyOf(groups);
        this.ranks = groups.stream().flatMap(group -> group.ranks().stream()).toArray(RankCandidate[]::new);
        RingPoint[] points = new RingPoint[ranks.length * POINTS_PER_RANK];
        for (int i = 0; i < points.length; i++) {
            int rank = i / POINTS_PER_RANK;
            points[i] = new RingPoint(RankHash.hash(ranks[rank].key(), i % POINTS_PER_RANK), rank);
        }
        Arrays.sort(points);
        this.ringPoints = Arrays.stream(points).mapToLong(RingPoint::hash).toArray();
        this.ringRanks = Arrays.stream(points).mapToInt(RingPoint::rank).toArray();
    }

    List<RankGroup> groups() {
        return groups;
    }

    int size() {
        return ranks.length;
    }

    RankCandidate rank(int position) {
        return ranks[position];
    }

    /**
     * Fills {@code result} with the first distinct ranks clockwise from {@code key} on the ring.
     *
     * @return number of ranks found
     */
    int ranksClockwiseFrom(long key, RankCandidate[] result) {
        int wanted = Math.min(result.length, ranks.length);
        int start = Arrays.binarySearch(ringPoints, key);
        int point = start >= 0 ? start : -start - 1;
        int found = 0;
        for (int step = 0; found < wanted && step < ringPoints.length; step++) {
            RankCandidate next = ranks[ringRanks[(point + step) % ringPoints.length]];
            if (!contains(result, found, next)) {
                result[found] = next;
                found++;
            }
        }
        return found;
    }

    private static boolean contains(RankCandidate[] candidates, int count, RankCandidate wanted) {
        for (int i = 0; i < count; i++) {
            if (candidates[i].key().equals(wanted.key())) {
                return true;
            }
        }
        return false;
    }

    private record RingPoint(long hash, int rank) implements Comparable<RingPoint> {
        @Override
        public int compareTo(RingPoint other) {
            int order = Long.compare(hash, other.hash);
            return order != 0 ? order : Integer.compare(rank, other.rank);
        }
    }
}
