package firwheel.experts.plan;

import firwheel.experts.ExpertMap;
import firwheel.experts.plan.ExpertMove.Kind;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Greedy search for moves that shorten the time of one of the slowest ranks of a layer: either an additional copy of
 * one of its experts on another rank, in an empty slot or in that of an expert with several copies, or a swap with
 * another rank. A single move may not lower the maximum while two ranks are equally slow, so moves are generated in
 * sequence and the caller keeps the best prefix.
 */
final class LayerSearch {
    private static final double MIN_RELATIVE_REDUCTION = 1e-3;
    private static final int MAX_HOT_RANKS = 4;

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

    /** Applies the next move to the placement and returns it; a swap is two moves. Empty if no move helps. */
    List<ExpertMove> next() {
        for (int hotRank : placement.slowestRanks(MAX_HOT_RANKS)) {
            Candidate best = bestFor(hotRank);
            if (best != null) {
                return apply(best);
            }
        }
        return List.of();
    }

    private @Nullable Candidate bestFor(int hotRank) {
        Candidate best = null;
        for (int slot = 0; slot < placement.slotCount(hotRank); slot++) {
            if (placement.expert(hotRank, slot) != ExpertMap.EMPTY) {
                best = better(best, bestFor(hotRank, slot));
            }
        }
        return best;
    }

    private @Nullable Candidate bestFor(int hotRank, int hotSlot) {
        int expert = placement.expert(hotRank, hotSlot);
        Candidate best = null;
        for (int rank = 0; rank < placement.ranks(); rank++) {
            boolean atLoadLimit = loads[rank] >= maxLoadsPerRank;
            if (rank == hotRank || atLoadLimit || !placement.isServing(rank) || placement.holds(rank, expert)) {
                continue;
            }
            for (int slot = 0; slot < placement.slotCount(rank); slot++) {
                best = better(best, evaluate(hotRank, hotSlot, rank, slot));
            }
        }
        return best;
    }

    private @Nullable Candidate evaluate(int hotRank, int hotSlot, int rank, int slot) {
        int occupant = placement.expert(rank, slot);
        boolean replaceable = occupant == ExpertMap.EMPTY || placement.copies(occupant) > 1;
        Candidate copy = replaceable ? evaluateCopy(hotRank, hotSlot, rank, slot) : null;
        boolean swappable =
                occupant != ExpertMap.EMPTY && !placement.holds(hotRank, occupant) && loads[hotRank] < maxLoadsPerRank;
        return swappable ? better(copy, evaluateSwap(hotRank, hotSlot, rank, slot)) : copy;
    }

    private @Nullable Candidate evaluateCopy(int hotRank, int hotSlot, int rank, int slot) {
        int expert = placement.expert(hotRank, hotSlot);
        int occupant = placement.expert(rank, slot);
        int copiesAfter = placement.copies(expert) + 1;
        double newShare = placement.shareWithMargin(expert, copiesAfter);
        double hotAfter = placement.secondsWithMargin(hotRank)
                - placement.slowdown(hotRank) * (placement.shareWithMargin(expert) - newShare);
        double rankAfter = placement.secondsWithMargin(rank)
                + placement.slowdown(rank) * (newShare - placement.shareWithMargin(occupant));
        double slowestSeconds = Math.max(hotAfter, rankAfter);
        if (slowestSeconds >= placement.secondsWithMargin(hotRank) || occupant == ExpertMap.EMPTY) {
            return candidate(hotRank, hotSlot, rank, slot, false, slowestSeconds);
        }
        double addedShare = placement.shareWithMargin(occupant, placement.copies(occupant) - 1)
                - placement.shareWithMargin(occupant);
        for (int holder = 0; holder < placement.ranks(); holder++) {
            if (holder != rank && placement.isServing(holder) && placement.holds(holder, occupant)) {
                double before = holder == hotRank ? hotAfter : placement.secondsWithMargin(holder);
                slowestSeconds = Math.max(slowestSeconds, before + placement.slowdown(holder) * addedShare);
            }
        }
        return candidate(hotRank, hotSlot, rank, slot, false, slowestSeconds);
    }

    private @Nullable Candidate evaluateSwap(int hotRank, int hotSlot, int rank, int slot) {
        double outgoing = placement.shareWithMargin(placement.expert(hotRank, hotSlot));
        double incoming = placement.shareWithMargin(placement.expert(rank, slot));
        double hotAfter = placement.secondsWithMargin(hotRank) - placement.slowdown(hotRank) * (outgoing - incoming);
        double rankAfter = placement.secondsWithMargin(rank) + placement.slowdown(rank) * (outgoing - incoming);
        return candidate(hotRank, hotSlot, rank, slot, true, Math.max(hotAfter, rankAfter));
    }

    private @Nullable Candidate candidate(
            int hotRank, int hotSlot, int rank, int slot, boolean swap, double slowestAfterMove) {
        double reduction = placement.secondsWithMargin(hotRank) - slowestAfterMove;
        if (reduction <= MIN_RELATIVE_REDUCTION * placement.secondsWithMargin(hotRank)) {
            return null;
        }
        return new Candidate(hotRank, hotSlot, rank, slot, swap, reduction / (swap ? 2 : 1));
    }

    private List<ExpertMove> apply(Candidate chosen) {
        int expert = placement.expert(chosen.hotRank, chosen.hotSlot);
        int occupant = placement.expert(chosen.rank, chosen.slot);
        List<ExpertMove> moves = new ArrayList<>();
        Kind kind = chosen.swap ? Kind.SWAP : Kind.REPLICATE;
        moves.add(new ExpertMove(kind, layer, expert, chosen.hotRank, chosen.rank, occupant));
        placement.set(chosen.rank, chosen.slot, expert);
        loads[chosen.rank]++;
        if (chosen.swap) {
            moves.add(new ExpertMove(kind, layer, occupant, chosen.rank, chosen.hotRank, expert));
            placement.set(chosen.hotRank, chosen.hotSlot, occupant);
            loads[chosen.hotRank]++;
        }
        return moves;
    }

    private static @Nullable Candidate better(@Nullable Candidate first, @Nullable Candidate second) {
        if (first == null || second == null) {
            return first == null ? second : first;
        }
        return second.reductionPerLoad > first.reductionPerLoad ? second : first;
    }

    /** A possible move and how much it shortens the time of the hot rank per expert loaded, in seconds per step. */
    private record Candidate(int hotRank, int hotSlot, int rank, int slot, boolean swap, double reductionPerLoad) {}
}
