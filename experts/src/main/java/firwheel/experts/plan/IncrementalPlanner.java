package firwheel.experts.plan;

import firwheel.experts.ExpertMap;
import firwheel.experts.plan.MapPlan.LayerRecord;
import firwheel.experts.plan.MapPlan.Verdict;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Plans few moves relative to the current map. Experts of dead and leaving ranks are always moved. For each layer, a
 * greedy search then yields a sequence of moves that lower the skew, of which the prefix with the highest net gain is
 * kept. Layers are accepted in descending order of net gain per move up to the round's move limit.
 */
public final class IncrementalPlanner implements MapPlanner {
    @Override
    public MapPlan plan(PlanningInput input) {
        List<LayerChange> changes = new ArrayList<>();
        for (int layer = 0; layer < input.map().layers(); layer++) {
            changes.add(planLayer(input, layer));
        }
        changes.sort(Comparator.comparingDouble(LayerChange::netGainPerMove).reversed());
        return combine(input, changes);
    }

    private static LayerChange planLayer(PlanningInput input, int layer) {
        int[][] slots = Slots.extendToCapacity(input.map().layer(layer), input.ranks());
        Evacuation evacuation = Evacuation.of(input, layer, slots);
        LayerPlacement placement = new LayerPlacement(
                evacuation.slots(),
                input.load().layer(layer),
                input.ranks(),
                input.costs().secondsPerToken(),
                input.load().relativeError(layer));
        return searchMoves(input, layer, evacuation, placement);
    }

    private static LayerChange searchMoves(
            PlanningInput input, int layer, Evacuation evacuation, LayerPlacement placement) {
        double skewBefore = placement.expectedSkewSeconds();
        LayerChange best =
                new LayerChange(layer, evacuation, List.of(), evacuation.slots(), skewBefore, skewBefore, 0, 0);
        LayerSearch search = new LayerSearch(placement, layer, input.limits().maxLoadsPerRank());
        int[][] slotsBefore = Slots.copy(placement.slots());
        List<ExpertMove> moves = new ArrayList<>();
        int bestMoves = 0;
        while (moves.size() < input.limits().maxMovesPerLayer()) {
            List<ExpertMove> next = search.next();
            if (next.isEmpty()) {
                break;
            }
            moves.addAll(next);
            double skewAfter = placement.expectedSkewSeconds();
            double gain = input.costs().skewCost(skewBefore - skewAfter, input.prices());
            double cost = input.costs().moveCost(moves.size(), false, input.prices());
            boolean sufficient = gain > 0 && gain >= input.limits().minGainRatio() * cost;
            if (sufficient && gain - cost > best.netGain()) {
                best = new LayerChange(
                        layer, evacuation, List.of(), evacuation.slots(), skewBefore, skewAfter, gain, cost);
                bestMoves = moves.size();
            }
        }
        return bestMoves == 0 ? best : best.withMoves(List.copyOf(moves.subList(0, bestMoves)), slotsBefore);
    }

    private static MapPlan combine(PlanningInput input, List<LayerChange> changes) {
        int[][][] slots = new int[input.map().layers()][][];
        List<ExpertMove> required = new ArrayList<>();
        List<ExpertMove> optional = new ArrayList<>();
        List<LayerRecord> records = new ArrayList<>();
        for (LayerChange change : changes) {
            boolean fits =
                    optional.size() + change.moves.size() <= input.limits().maxMoves();
            slots[change.layer] = fits ? change.slots : change.evacuation.slots();
            required.addAll(change.evacuation.moves());
            optional.addAll(fits ? change.moves : List.of());
            records.add(change.toRecord(fits));
        }
        if (records.stream().anyMatch(change -> change.verdict() == Verdict.NO_SLOT)) {
            return new MapPlan(input.map(), List.of(), records);
        }
        required.addAll(optional);
        ExpertMap map = ExpertMap.of(input.map().experts(), slots);
        return new MapPlan(map, required, records);
    }

    /** Best change found for one layer. */
    @SuppressWarnings("ArrayRecordComponent") // not shared outside one planning round
    private record LayerChange(
            int layer,
            Evacuation evacuation,
            List<ExpertMove> moves,
            int[][] slots,
            double skewSecondsBefore,
            double skewSecondsAfter,
            double gain,
            double cost) {
        double netGain() {
            return gain - cost;
        }

        /** Returns this change with the moves that make it up, which are applied to {@code slotsBefore}. */
        LayerChange withMoves(List<ExpertMove> applied, int[][] slotsBefore) {
            applied.forEach(move -> apply(move, slotsBefore[move.destinationRank()]));
            return new LayerChange(
                    layer, evacuation, applied, slotsBefore, skewSecondsBefore, skewSecondsAfter, gain, cost);
        }

        private static void apply(ExpertMove move, int[] destination) {
            for (int slot = 0; slot < destination.length; slot++) {
                if (destination[slot] == move.evictedExpert()) {
                    destination[slot] = move.expert();
                    return;
                }
            }
            throw new IllegalStateException(
                    "expert " + move.evictedExpert() + " is not on rank " + move.destinationRank());
        }

        double netGainPerMove() {
            return moves.isEmpty() ? 0 : netGain() / moves.size();
        }

        LayerRecord toRecord(boolean fits) {
            return new LayerRecord(layer, verdict(fits), moves.size(), skewSecondsBefore, skewSecondsAfter, gain, cost);
        }

        private Verdict verdict(boolean fits) {
            if (evacuation.unplaced() > 0) {
                return Verdict.NO_SLOT;
            }
            if (moves.isEmpty()) {
                return evacuation.moves().isEmpty() ? Verdict.INSUFFICIENT_GAIN : Verdict.REQUIRED;
            }
            return fits ? Verdict.ACCEPTED : Verdict.OVER_LIMIT;
        }
    }
}
