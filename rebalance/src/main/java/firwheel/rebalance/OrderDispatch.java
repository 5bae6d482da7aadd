package firwheel.rebalance;

import firwheel.experts.rollout.MapRollout;
import firwheel.experts.rollout.RankOrder;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * Sends the orders of a rollout to the ranks of a group. If many ranks prepare a map, the first of each few gets the
 * placement with its order, and the agents of the others fetch it there. A rank that does not take such an order gets
 * the placement with the next one.
 */
final class OrderDispatch {
    private static final int RANKS_PER_SOURCE = 8; // about the root of the largest group in use

    private final RankClient client;
    private final CallTimeouts timeouts;

    OrderDispatch(RankClient client, CallTimeouts timeouts) {
        this.client = client;
        this.timeouts = timeouts;
    }

    /** Sends the orders; completes when all have been answered or have failed. */
    CompletableFuture<Void> send(
            MapRollout rollout, long term, Map<Integer, RankClient.Route> ranks, List<RankOrder> orders) {
        boolean relayed = orders.size() == ranks.size()
                && orders.size() > RANKS_PER_SOURCE
                && orders.stream().allMatch(order -> order.action() == RankOrder.Action.PREPARE);
        List<CompletableFuture<Boolean>> calls = new ArrayList<>();
        String source = "";
        int fetching = 0;
        for (RankOrder order : orders) {
            RankClient.Route rank = ranks.get(order.rank());
            if (rank == null) {
                continue;
            }
            RankClient.CallOptions options = timeouts.forOrder(rollout, order.action());
            if (relayed && !rank.isLocal() && !source.isEmpty() && fetching < RANKS_PER_SOURCE - 1) {
                fetching++;
                calls.add(client.sendOrderWithPlacementFrom(source, rank, term, order, options));
                continue;
            }
            calls.add(client.sendOrder(rank, term, order, options));
            source = rank.isLocal() ? source : rank.agentIp();
            fetching = rank.isLocal() ? fetching : 0;
        }
        return CompletableFuture.allOf(calls.toArray(new CompletableFuture<?>[0]));
    }
}
