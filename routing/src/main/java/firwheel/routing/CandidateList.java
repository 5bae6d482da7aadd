package firwheel.routing;

/** The few distinct ranks that one decision compares. */
final class CandidateList {
    private final RankCandidate[] ranks;
    private long affinityBits;
    private int size;

    /** Creates a list that takes at most {@code capacity} ranks, at most 64. */
    CandidateList(int capacity) {
        this.ranks = new RankCandidate[capacity];
    }

    /** Adds a rank unless it is there already or the list is full. */
    void add(RankCandidate rank, boolean affinity) {
        if (size == ranks.length || contains(rank)) {
            return;
        }
        if (affinity) {
            affinityBits |= 1L << size;
        }
        ranks[size] = rank;
        size++;
    }

    int size() {
        return size;
    }

    RankCandidate get(int position) {
        return ranks[position];
    }

    /** Returns whether the rank is a home of the request's prefix. */
    boolean hasAffinity(int position) {
        return (affinityBits >>> position & 1) == 1;
    }

    private boolean contains(RankCandidate rank) {
        for (int i = 0; i < size; i++) {
            if (ranks[i].key().equals(rank.key())) {
                return true;
            }
        }
        return false;
    }
}
