package firwheel.rebalance;

import firwheel.experts.rollout.RankOrder;
import firwheel.experts.rollout.RankView;
import java.util.concurrent.CompletableFuture;

/** Fake group of engines. Starts a step at each state read, and records whether ranks ever used different maps. */
final class FakeGroup {
    private final int experts;
    private final long[] map;
    private final long[] prepared;
    private final long[] armed;
    private final long[] armedStep;
    private final long[] held;
    private final int[][][] placement;
    private final int[][][][] preparedPlacement;
    private final long[] counts;
    private long step;
    private long epoch = 1;
    private boolean hasRequests = true;
    private boolean mapsDiverged;
    private boolean placementHidden;
    private boolean loadingNeverEnds;
    private int selectionReads;
    private long firstHold = RankView.NONE;
    private boolean idle;
    private int placementReads;
    private int placementReadsAtSwitch;

    FakeGroup(int ranks, int experts) {
        this(ranks, 1, experts);
    }

    FakeGroup(int ranks, int layers, int experts) {
        this.experts = experts;
        map = new long[ranks];
        prepared = noneForEachRank(ranks);
        armed = noneForEachRank(ranks);
        armedStep = noneForEachRank(ranks);
        held = noneForEachRank(ranks);
        placement = new int[ranks][layers][];
        preparedPlacement = new int[ranks][][][];
        counts = new long[layers * experts];
        placeContiguously();
    }

    private void placeContiguously() {
        int ranks = placement.length;
        for (int rank = 0; rank < ranks; rank++) {
            int first = rank * experts / ranks;
            for (int layer = 0; layer < placement[rank].length; layer++) {
                placement[rank][layer] = java.util.stream.IntStream.range(first, (rank + 1) * experts / ranks)
                        .toArray();
            }
        }
    }

    /** Forms the group again with its initial map, and stops the requests that select experts. */
    synchronized void reformWithoutRequests() {
        epoch++;
        hasRequests = false;
        java.util.Arrays.fill(map, 0);
        java.util.Arrays.fill(prepared, RankView.NONE);
        java.util.Arrays.fill(armed, RankView.NONE);
        java.util.Arrays.fill(armedStep, RankView.NONE);
        java.util.Arrays.fill(held, RankView.NONE);
        placeContiguously();
    }

    private static long[] noneForEachRank(int ranks) {
        long[] values = new long[ranks];
        java.util.Arrays.fill(values, RankView.NONE);
        return values;
    }

    synchronized boolean mapsDiverged() {
        return mapsDiverged;
    }

    synchronized long mapVersion(int rank) {
        return map[rank];
    }

    /** Lets the first rank use another map than the others. */
    synchronized void splitMaps() {
        map[0] = 5;
        placement[0] = new int[][] {{0, 1, 4}};
    }

    /** Returns whether all ranks use the same map, which places each expert somewhere. */
    synchronized boolean usesOneMapOfAllExperts() {
        return java.util.Arrays.stream(map).distinct().count() == 1
                && java.util.Arrays.stream(placement)
                                .flatMapToInt(layers -> java.util.Arrays.stream(layers[0]))
                                .distinct()
                                .count()
                        == experts;
    }

    /** Puts the group into the state left by a controller that failed while it was arming the ranks. */
    synchronized void simulateFailedController(int heldRank, int armedRank) {
        for (int rank = 0; rank < map.length; rank++) {
            prepared[rank] = 5;
            preparedPlacement[rank] = new int[][][] {{placement[0][0], placement[1][0], placement[2][0]}};
        }
        held[heldRank] = step + 1;
        armed[armedRank] = 5;
        armedStep[armedRank] = step + 1;
    }

    /** Returns the step of the first hold, or {@link RankView#NONE} if there was none. */
    synchronized long firstHold() {
        return firstHold;
    }

    /** Sets whether the group starts no steps. */
    synchronized void setIdle(boolean newIdle) {
        idle = newIdle;
    }

    synchronized boolean isHeld() {
        return java.util.Arrays.stream(held).anyMatch(heldStep -> heldStep == step + 1);
    }

    Engine engine(int rank) {
        return new Engine() {
            @Override
            public CompletableFuture<EngineState> state() {
                return CompletableFuture.completedFuture(reportState(rank));
            }

            @Override
            public CompletableFuture<long[]> expertCounts() {
                return CompletableFuture.completedFuture(selectionCounts());
            }

            @Override
            public CompletableFuture<int[][]> placedExperts() {
                return CompletableFuture.completedFuture(placed(rank));
            }

            @Override
            public CompletableFuture<Boolean> submit(RankOrder order) {
                return CompletableFuture.completedFuture(execute(order));
            }
        };
    }

    private synchronized EngineState reportState(int rank) {
        startStepUnlessHeld();
        long loaded = loadingNeverEnds && loadsExperts(rank) ? RankView.NONE : prepared[rank];
        RankView view =
                new RankView(rank, epoch, true, step, map[rank], loaded, armed[rank], armedStep[rank], held[rank]);
        return new EngineState(7, "g", map.length, view, 1, 2, 3, 1);
    }

    /** Selects the initial experts of the first rank ten times as often as all others. */
    private synchronized long[] selectionCounts() {
        selectionReads++;
        for (int i = 0; hasRequests && i < counts.length; i++) {
            counts[i] += i % experts < experts / map.length ? 5_000 : 500;
        }
        return counts.clone();
    }

    private synchronized int[][] placed(int rank) {
        placementReads++;
        return placementHidden ? new int[0][] : placement[rank];
    }

    /** Makes the engines load the experts of a new map without end. */
    synchronized void neverFinishLoading() {
        loadingNeverEnds = true;
    }

    synchronized boolean isLoading() {
        return loadingNeverEnds
                && java.util.stream.IntStream.range(0, map.length).anyMatch(this::loadsExperts);
    }

    /** Returns whether the map prepared last places other experts on the rank than the one in use. */
    private boolean loadsExperts(int rank) {
        if (prepared[rank] == RankView.NONE) {
            return false;
        }
        boolean loads = false;
        for (int layer = 0; layer < placement[rank].length; layer++) {
            loads |= !java.util.Arrays.equals(preparedPlacement[rank][layer][rank], placement[rank][layer]);
        }
        return loads;
    }

    /** Returns how often the expert selections of a rank were read. */
    synchronized int selectionReads() {
        return selectionReads;
    }

    /** Makes the engines report no experts, so that no controller learns the placement. */
    synchronized void hidePlacement() {
        placementHidden = true;
    }

    /** Returns how often the experts of a rank were read since the latest switch to a new map. */
    synchronized int placementReadsSinceSwitch() {
        return placementReads - placementReadsAtSwitch;
    }

    private void startStepUnlessHeld() {
        if (idle) {
            return;
        }
        for (long heldStep : held) {
            if (heldStep == step + 1) {
                return;
            }
        }
        step++;
        for (int rank = 0; rank < map.length; rank++) {
            if (armed[rank] != RankView.NONE && armedStep[rank] == step) {
                map[rank] = armed[rank];
                placementReadsAtSwitch = placementReads;
                armed[rank] = RankView.NONE;
                armedStep[rank] = RankView.NONE;
                for (int layer = 0; layer < placement[rank].length; layer++) {
                    placement[rank][layer] = preparedPlacement[rank][layer][rank];
                }
            }
        }
        mapsDiverged |= java.util.Arrays.stream(map).distinct().count() > 1;
    }

    private synchronized boolean execute(RankOrder order) {
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
                preparedPlacement[rank] = order.placement();
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
                firstHold = firstHold == RankView.NONE ? order.step() : firstHold;
            }
            case RELEASE -> held[rank] = RankView.NONE;
        }
        return true;
    }
}
