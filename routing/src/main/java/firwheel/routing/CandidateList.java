package firwheel.routing;

/** The distinct ranks that one routing decision compares. */
final class CandidateList {
    private final RankCandidate[] ranks;
    private long affinityBits;
    private int size;

    /** Creates an empty list; {@code capacity} must not exceed 64. */
    CandidateList(int capacity) {
        this.ranks = new RankCandidate[capacity];
    }

    /** Adds a rank unless the list already contains it or is full. */
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

    /** Returns whether the rank was added as an affinity rank of the request's prefix. */
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
