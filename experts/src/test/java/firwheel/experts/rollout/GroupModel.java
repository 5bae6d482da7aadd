package firwheel.experts.rollout;

import firwheel.experts.rollout.RankOrder.Action;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Model of a group of engines that execute rank orders as specified. */
final class GroupModel {
    // The state of a rank has FIELDS fields at the indices below; NEWEST is the newest version that it ever prepared.
    private static final int FIELDS = 6;
    private static final int MAP = 0;
    private static final int PREPARED = 1;
    private static final int ARMED = 2;
    private static final int ARMED_STEP = 3;
    private static final int HELD = 4;
    private static final int NEWEST = 5;

    private final long[][] ranks;
    private long step;
    private boolean ignoresHolds;

    GroupModel(int size) {
        ranks = new long[size][FIELDS];
        for (long[] rank : ranks) {
            Arrays.fill(rank, RankView.NONE);
            rank[MAP] = 0;
            rank[NEWEST] = 0;
        }
    }

    List<RankView> views() {
        List<RankView> views = new ArrayList<>();
        for (int i = 0; i < ranks.length; i++) {
            long[] rank = ranks[i];
            views.add(new RankView(
                    i, 1, true, step, rank[MAP], rank[PREPARED], rank[ARMED], rank[ARMED_STEP], rank[HELD]));
        }
        return views;
    }

    /** Puts a rank on another map than the others. */
    void setMap(int rank, long version) {
        ranks[rank][MAP] = version;
        ranks[rank][NEWEST] = version;
    }

    boolean sameMaps() {
        return Arrays.stream(ranks).mapToLong(rank -> rank[MAP]).distinct().count() == 1;
    }

    /** Seeds a fault: steps start even if they are held. */
    void setIgnoresHolds(boolean ignored) {
        ignoresHolds = ignored;
    }

    boolean isHeld() {
        return !ignoresHolds && Arrays.stream(ranks).anyMatch(rank -> rank[HELD] == step + 1);
    }

    /** Starts the next step unless it is held; returns whether it did. */
    boolean startStep() {
        if (isHeld()) {
            return false;
        }
        step++;
        for (long[] rank : ranks) {
            if (rank[ARMED] != RankView.NONE && rank[ARMED_STEP] == step) {
                rank[MAP] = rank[ARMED];
                rank[ARMED] = RankView.NONE;
                rank[ARMED_STEP] = RankView.NONE;
            }
        }
        return true;
    }

    /** Executes an order, or ignores it if its preconditions do not hold. */
    void execute(RankOrder order) {
        long[] rank = ranks[order.rank()];
        accept(order, rank);
    }

    private boolean accept(RankOrder order, long[] rank) {
        return switch (order.action()) {
            case PREPARE -> prepare(order, rank);
            case ARM -> arm(order, rank);
            case DISARM -> disarm(order, rank);
            case HOLD -> hold(order, rank);
            case RELEASE -> release(order, rank);
        };
    }

    private static boolean prepare(RankOrder order, long[] rank) {
        if (order.version() <= rank[NEWEST] || rank[ARMED] != RankView.NONE) {
            return false;
        }
        rank[NEWEST] = order.version();
        rank[PREPARED] = order.version();
        return true;
    }

    private boolean arm(RankOrder order, long[] rank) {
        if (order.version() != rank[PREPARED] || order.step() <= step || rank[ARMED] != RankView.NONE) {
            return false;
        }
        rank[ARMED] = order.version();
        rank[ARMED_STEP] = order.step();
        return true;
    }

    private static boolean disarm(RankOrder order, long[] rank) {
        if (rank[ARMED] != order.version()) {
            return false;
        }
        rank[ARMED] = RankView.NONE;
        rank[ARMED_STEP] = RankView.NONE;
        return true;
    }

    private boolean hold(RankOrder order, long[] rank) {
        if (order.step() <= step || rank[HELD] != RankView.NONE) {
            return false;
        }
        rank[HELD] = order.step();
        return true;
    }

    private static boolean release(RankOrder order, long[] rank) {
        if (rank[HELD] != order.step() || order.action() != Action.RELEASE) {
            return false;
        }
        rank[HELD] = RankView.NONE;
        return true;
    }

    String describe() {
        return step + Arrays.deepToString(ranks);
    }
}
