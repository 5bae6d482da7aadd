package firwheel.rebalance;

import firwheel.experts.rollout.MapRollout;
import firwheel.experts.rollout.RankOrder;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * Sends the orders of a rollout to the ranks of a group. A placement that does not fit into a packet is not sent with
 * orders to other hosts: their agents fetch it from each other ({@link PlacementSources}).
 */
final class OrderDispatch {
    private static final int MAX_PLACEMENT_BYTES_IN_ORDER = 1_024;

    private final RankClient client;
    private final CallTimeouts timeouts;
    private final PlacementSources sources;

    private record Delivery(RankOrder order, RankClient.Route rank, RankClient.CallOptions options) {}

    OrderDispatch(RankClient client, CallTimeouts timeouts) {
        this.client = client;
        this.timeouts = timeouts;
        sources = new PlacementSources(client.localIp());
    }

    /** Sends the orders; completes when all have been answered or have failed. */
    CompletableFuture<Void> send(
            MapRollout rollout, long term, Map<Integer, RankClient.Route> ranks, List<RankOrder> orders) {
        List<CompletableFuture<Boolean>> calls = new ArrayList<>();
        List<Delivery> fetching = new ArrayList<>();
        for (RankOrder order : orders) {
            RankClient.Route rank = ranks.get(order.rank());
            if (rank == null) {
                continue;
            }
            Delivery delivery = new Delivery(order, rank, timeouts.forOrder(rollout, order.action()));
            if (fetchesPlacement(delivery)) {
                fetching.add(delivery);
            } else {
                calls.add(client.sendOrder(rank, term, order, delivery.options()));
            }
        }
        if (!fetching.isEmpty()) {
            calls.addAll(sendWithoutPlacement(term, fetching));
        }
        return CompletableFuture.allOf(calls.toArray(new CompletableFuture<?>[0]));
    }

    private boolean fetchesPlacement(Delivery delivery) {
        boolean sentToEngine = delivery.options().mayBypassAgent() && isUnresponsive(delivery);
        return delivery.order().action() == RankOrder.Action.PREPARE
                && !delivery.rank().isLocal()
                && !sentToEngine
                && PackedPlacement.size(delivery.order().placement()) > MAX_PLACEMENT_BYTES_IN_ORDER;
    }

    private boolean isUnresponsive(Delivery delivery) {
        return client.isAgentUnresponsive(delivery.rank().agentIp());
    }

    /** Sends orders with the same placement; agents that did not respond lately are the last, so no other needs them. */
    private List<CompletableFuture<Boolean>> sendWithoutPlacement(long term, List<Delivery> deliveries) {
        RankOrder first = deliveries.get(0).order();
        client.offerPlacement(first);
        sources.startRound(first.version());
        deliveries.sort(Comparator.comparing(this::isUnresponsive));
        List<CompletableFuture<Boolean>> calls = new ArrayList<>();
        for (Delivery delivery : deliveries) {
            String agentIp = delivery.rank().agentIp();
            long version = delivery.order().version();
            calls.add(client.sendOrderWithPlacementFrom(
                            sources.next(agentIp), delivery.rank(), term, delivery.order(), delivery.options())
                    .thenApply(taken -> {
                        if (taken) {
                            sources.onTaken(version, agentIp);
                        }
                        return taken;
                    }));
        }
        return calls;
    }
}
