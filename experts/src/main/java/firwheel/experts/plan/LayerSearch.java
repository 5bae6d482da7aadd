package firwheel.experts.plan;

import firwheel.experts.ExpertMap;
import firwheel.experts.plan.ExpertMove.Kind;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Finds moves that relieve one of the slowest ranks of a layer: a further copy of one of its experts elsewhere, in place of a
 * spare copy, or an exchange with another rank. A single move may gain nothing while two ranks are equally slow, so
 * moves are tried in sequence and the caller takes the best beginning.
 */
final class LayerSearch {
    private static final double LEAST_RELIEF = 1e-3;
    private static final int SLOW_RANKS = 4;

    private final LayerPlacement placement;
    private final int layer;
    private final int maxLoadsPerRank;
    private final int[] loads;

    LayerSearch(LayerPlacement placement, int layer, int maxLoadsPerRank) {
        this.placement = placement;
        this.layer = layer;
        this.maxLoadsPerRank = maxLoadsPerRank;
        loads = new int[placement.ranks()];
    }

    /** Applies the next move to the placement and returns it, an exchange as two; empty if none relieves it. */
    List<ExpertMove> next() {
        for (int hot : placement.slowest(SLOW_RANKS)) {
            Candidate best = bestFor(hot);
            if (best != null) {
                return apply(best);
            }
        }
        return List.of();
    }

    private @Nullable Candidate bestFor(int hot) {
        Candidate best = null;
        for (int slot = 0; slot < placement.slotCount(hot); slot++) {
            if (placement.expert(hot, slot) != ExpertMap.EMPTY) {
                best = better(best, bestFor(hot, slot));
            }
        }
        return best;
    }

    private @Nullable Candidate bestFor(int hot, int hotSlot) {
        int expert = placement.expert(hot, hotSlot);
        Candidate best = null;
        for (int rank = 0; rank < placement.ranks(); rank++) {
            boolean full = loads[rank] >= maxLoadsPerRank;
            if (rank == hot || full || !placement.serves(rank) || placement.holds(rank, expert)) {
                continue;
            }
            for (int slot = 0; slot < placement.slotCount(rank); slot++) {
                best = better(best, weigh(hot, hotSlot, rank, slot));
            }
        }
        return best;
    }

    private @Nullable Candidate weigh(int hot, int hotSlot, int rank, int slot) {
        int other = placement.expert(rank, slot);
        boolean spare = other == ExpertMap.EMPTY || placement.copies(other) > 1;
        Candidate copy = spare ? weighCopy(hot, hotSlot, rank, slot) : null;
        boolean exchangeable = other != ExpertMap.EMPTY && !placement.holds(hot, other) && loads[hot] < maxLoadsPerRank;
        return exchangeable ? better(copy, weighExchange(hot, hotSlot, rank, slot)) : copy;
    }

    private @Nullable Candidate weighCopy(int hot, int hotSlot, int rank, int slot) {
        int expert = placement.expert(hot, hotSlot);
        int other = placement.expert(rank, slot);
        int count = placement.copies(expert) + 1;
        double gained = placement.riskyShare(expert, count);
        double hotAfter =
                placement.riskySeconds(hot) - placement.slowdown(hot) * (placement.riskyShare(expert) - gained);
        double rankAfter =
                placement.riskySeconds(rank) + placement.slowdown(rank) * (gained - placement.riskyShare(other));
        double worst = Math.max(hotAfter, rankAfter);
        if (worst >= placement.riskySeconds(hot) || other == ExpertMap.EMPTY) {
            return candidate(hot, hotSlot, rank, slot, false, worst);
        }
        double extra = placement.riskyShare(other, placement.copies(other) - 1) - placement.riskyShare(other);
        for (int holder = 0; holder < placement.ranks(); holder++) {
            if (holder != rank && placement.serves(holder) && placement.holds(holder, other)) {
                double before = holder == hot ? hotAfter : placement.riskySeconds(holder);
                worst = Math.max(worst, before + placement.slowdown(holder) * extra);
            }
        }
        return candidate(hot, hotSlot, rank, slot, false, worst);
    }

    private @Nullable Candidate weighExchange(int hot, int hotSlot, int rank, int slot) {
        double given = placement.riskyShare(placement.expert(hot, hotSlot));
        double taken = placement.riskyShare(placement.expert(rank, slot));
        double hotAfter = placement.riskySeconds(hot) - placement.slowdown(hot) * (given - taken);
        double rankAfter = placement.riskySeconds(rank) + placement.slowdown(rank) * (given - taken);
        return candidate(hot, hotSlot, rank, slot, true, Math.max(hotAfter, rankAfter));
    }

    private @Nullable Candidate candidate(
            int hot, int hotSlot, int rank, int slot, boolean exchange, double worstSeconds) {
        double relief = placement.riskySeconds(hot) - worstSeconds;
        if (relief <= LEAST_RELIEF * placement.riskySeconds(hot)) {
            return null;
        }
        return new Candidate(hot, hotSlot, rank, slot, exchange, relief / (exchange ? 2 : 1));
    }

    private List<ExpertMove> apply(Candidate chosen) {
        int expert = placement.expert(chosen.hot, chosen.hotSlot);
        int other = placement.expert(chosen.rank, chosen.slot);
        List<ExpertMove> moves = new ArrayList<>();
        Kind kind = chosen.exchange ? Kind.SWAP : Kind.REPLICATE;
        moves.add(new ExpertMove(kind, layer, expert, chosen.hot, chosen.rank, other));
        placement.set(chosen.rank, chosen.slot, expert);
        loads[chosen.rank]++;
        if (chosen.exchange) {
            moves.add(new ExpertMove(kind, layer, other, chosen.rank, chosen.hot, expert));
            placement.set(chosen.hot, chosen.hotSlot, other);
            loads[chosen.hot]++;
        }
        return moves;
    }

    private static @Nullable Candidate better(@Nullable Candidate first, @Nullable Candidate second) {
        if (first == null || second == null) {
            return first == null ? second : first;
        }
        return second.reliefPerMove > first.reliefPerMove ? second : first;
    }

    /** A possible move and by how much it relieves the slowest rank for each expert loaded, in seconds a step. */
    private record Candidate(int hot, int hotSlot, int rank, int slot, boolean exchange, double reliefPerMove) {}
}
