package firwheel.cli;

import firwheel.model.RankAddress;
import firwheel.model.RankKey;
import firwheel.model.ResultCode;
import firwheel.model.RowState;
import firwheel.routing.RouteDecision;
import firwheel.routing.RoutingPolicy;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/** The routing policy that entries run. */
final class Routing {
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private Routing() {}

    /** Chooses at random among the ranks of all serving rows. */
    static RoutingPolicy defaultPolicy() {
        return (request, view) -> {
            List<RouteDecision.Chosen> candidates = new ArrayList<>();
            view.table().rows().stream()
                    .filter(row -> row.state() == RowState.SERVING && row.serves(request.kind(), request.servedName()))
                    .forEach(row -> {
                        for (RankAddress address : row.hosts()) {
                            RankKey key = new RankKey(row.name(), address.rank());
                            if (!request.excluded().contains(key)) {
                                candidates.add(new RouteDecision.Chosen(key, address));
                            }
                        }
                    });
            return candidates.isEmpty()
                    ? new RouteDecision.Refused(ResultCode.NO_TARGET, RETRY_AFTER)
                    : candidates.get(ThreadLocalRandom.current().nextInt(candidates.size()));
        };
    }
}
