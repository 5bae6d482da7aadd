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
    private static final int LOADS_PER_SWAP = 2;

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
                best = bestFor(hotRank, slot, best);
            }
        }
        return best;
    }

    /** Returns the best move of the expert in a slot, or {@code best} if none is better. */
    private @Nullable Candidate bestFor(int hotRank, int hotSlot, @Nullable Candidate best) {
        int expert = placement.expert(hotRank, hotSlot);
        double newShare = placement.shareWithMargin(expert, placement.copies(expert) + 1);
        Candidate found = best;
        for (int rank = 0; rank < placement.ranks(); rank++) {
            boolean atLoadLimit = loads[rank] >= maxLoadsPerRank;
            if (rank == hotRank || atLoadLimit || !placement.isServing(rank) || placement.holds(rank, expert)) {
                continue;
            }
            if (largestReduction(hotRank, rank, newShare) <= requiredReduction(hotRank, found, false)) {
                continue;
            }
            for (int slot = 0; slot < placement.slotCount(rank); slot++) {
                found = better(found, hotRank, hotSlot, rank, slot);
            }
        }
        return found;
    }

    /** Returns the better of the moves to a slot, or {@code best} if none is better. */
    private @Nullable Candidate better(@Nullable Candidate best, int hotRank, int hotSlot, int rank, int slot) {
        int occupant = placement.expert(rank, slot);
        boolean replaceable = occupant == ExpertMap.EMPTY || placement.copies(occupant) > 1;
        Candidate found = best;
        if (replaceable) {
            double required = requiredReduction(hotRank, found, false);
            double reduction = copyReduction(hotRank, hotSlot, rank, slot, required);
            found = reduction > required ? new Candidate(hotRank, hotSlot, rank, slot, false, reduction) : found;
        }
        boolean swappable =
                occupant != ExpertMap.EMPTY && loads[hotRank] < maxLoadsPerRank && !placement.holds(hotRank, occupant);
        if (swappable) {
            double reduction = swapReduction(hotRank, hotSlot, rank, slot);
            found = reduction > requiredReduction(hotRank, found, true)
                    ? new Candidate(hotRank, hotSlot, rank, slot, true, reduction / LOADS_PER_SWAP)
                    : found;
        }
        return found;
    }

    /** Returns an upper bound of the reduction by a move to a rank, which replaces at most its largest share. */
    private double largestReduction(int hotRank, int rank, double newShare) {
        double rankAfter = placement.secondsWithMargin(rank)
                + placement.slowdown(rank) * (newShare - placement.largestShareWithMargin(rank));
        return placement.secondsWithMargin(hotRank) - rankAfter;
    }

    /** Returns the reduction above which a move is better than {@code best}. */
    private double requiredReduction(int hotRank, @Nullable Candidate best, boolean swap) {
        double required = MIN_RELATIVE_REDUCTION * placement.secondsWithMargin(hotRank);
        return best == null ? required : Math.max(required, best.reductionPerLoad * (swap ? LOADS_PER_SWAP : 1));
    }

    /** Returns the reduction by a copy, or an upper bound of it that is not above {@code required}. */
    private double copyReduction(int hotRank, int hotSlot, int rank, int slot, double required) {
        int expert = placement.expert(hotRank, hotSlot);
        int occupant = placement.expert(rank, slot);
        double newShare = placement.shareWithMargin(expert, placement.copies(expert) + 1);
        double hotBefore = placement.secondsWithMargin(hotRank);
        double hotAfter = hotBefore - placement.slowdown(hotRank) * (placement.shareWithMargin(expert) - newShare);
        double rankAfter = placement.secondsWithMargin(rank)
                + placement.slowdown(rank) * (newShare - placement.shareWithMargin(occupant));
        double slowestSeconds = Math.max(hotAfter, rankAfter);
        if (hotBefore - slowestSeconds <= required || occupant == ExpertMap.EMPTY) {
            return hotBefore - slowestSeconds;
        }
        double addedShare = placement.shareWithMargin(occupant, placement.copies(occupant) - 1)
                - placement.shareWithMargin(occupant);
        for (int index = 0; index < placement.holderCount(occupant); index++) {
            int holder = placement.holder(occupant, index);
            if (holder != rank) {
                double before = holder == hotRank ? hotAfter : placement.secondsWithMargin(holder);
                slowestSeconds = Math.max(slowestSeconds, before + placement.slowdown(holder) * addedShare);
            }
        }
        return hotBefore - slowestSeconds;
    }

    private double swapReduction(int hotRank, int hotSlot, int rank, int slot) {
        double outgoing = placement.shareWithMargin(placement.expert(hotRank, hotSlot));
        double incoming = placement.shareWithMargin(placement.expert(rank, slot));
        double hotAfter = placement.secondsWithMargin(hotRank) - placement.slowdown(hotRank) * (outgoing - incoming);
        double rankAfter = placement.secondsWithMargin(rank) + placement.slowdown(rank) * (outgoing - incoming);
        return placement.secondsWithMargin(hotRank) - Math.max(hotAfter, rankAfter);
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

    /** A possible move and how much it shortens the time of the hot rank per expert loaded, in seconds per step. */
    private record Candidate(int hotRank, int hotSlot, int rank, int slot, boolean swap, double reductionPerLoad) {}
}
