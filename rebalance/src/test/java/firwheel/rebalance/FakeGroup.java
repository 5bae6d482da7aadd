package firwheel.rebalance;

import firwheel.experts.rollout.RankOrder;
import firwheel.experts.rollout.RankView;
import java.util.concurrent.CompletableFuture;

/** A group of engines that begins a pass at each report, and records whether ranks ever differed in their maps. */
final class FakeGroup {
    private final int experts;
    private final long[] map;
    private final long[] prepared;
    private final long[] armed;
    private final long[] armedStep;
    private final long[] held;
    private final int[][][] placement;
    private final int[][][][] preparing;
    private final long[] counts;
    private long step;
    private long epoch = 1;
    private boolean choosing = true;
    private boolean differed;

    FakeGroup(int ranks, int experts) {
        this.experts = experts;
        map = new long[ranks];
        prepared = filled(ranks);
        armed = filled(ranks);
        armedStep = filled(ranks);
        held = filled(ranks);
        placement = new int[ranks][1][];
        preparing = new int[ranks][][][];
        counts = new long[experts];
        placeInTurn();
    }

    private void placeInTurn() {
        int ranks = placement.length;
        for (int rank = 0; rank < ranks; rank++) {
            int first = rank * experts / ranks;
            placement[rank][0] = java.util.stream.IntStream.range(first, (rank + 1) * experts / ranks)
                    .toArray();
        }
    }

    /** Forms the group anew: with its first map, and from now on without requests that would choose experts. */
    synchronized void formAnewWithoutWork() {
        epoch++;
        choosing = false;
        java.util.Arrays.fill(map, 0);
        java.util.Arrays.fill(prepared, RankView.NONE);
        java.util.Arrays.fill(armed, RankView.NONE);
        java.util.Arrays.fill(armedStep, RankView.NONE);
        java.util.Arrays.fill(held, RankView.NONE);
        placeInTurn();
    }

    private static long[] filled(int ranks) {
        long[] values = new long[ranks];
        java.util.Arrays.fill(values, RankView.NONE);
        return values;
    }

    synchronized boolean differed() {
        return differed;
    }

    synchronized long mapVersion(int rank) {
        return map[rank];
    }

    /** Puts the group into the state in which a controller left it that died while it armed the ranks. */
    synchronized void leaveHeld(int holder, int armedRank) {
        for (int rank = 0; rank < map.length; rank++) {
            prepared[rank] = 5;
            preparing[rank] = new int[][][] {{placement[0][0], placement[1][0], placement[2][0]}};
        }
        held[holder] = step + 1;
        armed[armedRank] = 5;
        armedStep[armedRank] = step + 1;
    }

    synchronized boolean isHeld() {
        return java.util.Arrays.stream(held).anyMatch(heldStep -> heldStep == step + 1);
    }

    Engine engine(int rank) {
        return new Engine() {
            @Override
            public CompletableFuture<EngineState> state() {
                return CompletableFuture.completedFuture(report(rank));
            }

            @Override
            public CompletableFuture<long[]> expertCounts() {
                return CompletableFuture.completedFuture(choices());
            }

            @Override
            public CompletableFuture<int[][]> placedExperts() {
                return CompletableFuture.completedFuture(placed(rank));
            }

            @Override
            public CompletableFuture<Boolean> submit(RankOrder order) {
                return CompletableFuture.completedFuture(take(order));
            }
        };
    }

    private synchronized EngineState report(int rank) {
        pass();
        RankView view = new RankView(
                rank, epoch, true, step, map[rank], prepared[rank], armed[rank], armedStep[rank], held[rank]);
        return new EngineState(7, "g", map.length, view, 1, 2, 3, 1);
    }

    /** The first rank's experts are chosen ten times as often as all others. */
    private synchronized long[] choices() {
        for (int expert = 0; choosing && expert < experts; expert++) {
            counts[expert] += expert < experts / map.length ? 5_000 : 500;
        }
        return counts.clone();
    }

    private synchronized int[][] placed(int rank) {
        return placement[rank];
    }

    private void pass() {
        for (long heldStep : held) {
            if (heldStep == step + 1) {
                return;
            }
        }
        step++;
        for (int rank = 0; rank < map.length; rank++) {
            if (armed[rank] != RankView.NONE && armedStep[rank] == step) {
                map[rank] = armed[rank];
                armed[rank] = RankView.NONE;
                armedStep[rank] = RankView.NONE;
                for (int set = 0; set < placement[rank].length; set++) {
                    placement[rank][set] = preparing[rank][set][rank];
                }
            }
        }
        differed |= java.util.Arrays.stream(map).distinct().count() > 1;
    }

    private synchronized boolean take(RankOrder order) {
        int rank = order.rank();
        if (order.epoch() != epoch) {
            return false;
        }
        switch (order.action()) {
            case PREPARE -> {
                if (armed[rank] != RankView.NONE || order.version() <= Math.max(prepared[rank], map[rank])) {
                    return false;
                }
                prepared[rank] = order.version();
                preparing[rank] = order.placement();
            }
            case ARM -> {
                if (prepared[rank] != order.version() || order.step() <= step) {
                    return false;
                }
                armed[rank] = order.version();
                armedStep[rank] = order.step();
            }
            case DISARM -> {
                armed[rank] = RankView.NONE;
                armedStep[rank] = RankView.NONE;
            }
            case HOLD -> {
                if (order.step() <= step) {
                    return false;
                }
                held[rank] = order.step();
            }
            case RELEASE -> held[rank] = RankView.NONE;
        }
        return true;
    }
}
