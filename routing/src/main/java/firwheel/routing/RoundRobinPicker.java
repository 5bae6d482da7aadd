package firwheel.routing;

import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;

/** Picks the ranks in turn, starting at a random position that differs between entries. */
final class RoundRobinPicker implements RankPicker {
    private final AtomicLong next;

    RoundRobinPicker(RandomSource random) {
        this.next = new AtomicLong(random.nextInt(Integer.MAX_VALUE));
    }

    @Override
    public @Nullable RankCandidate pick(RankSet ranks, RouteRequest request, RoutingView view) {
        for (int tries = 0; tries < ranks.size(); tries++) {
            RankCandidate candidate = ranks.rank(Math.floorMod(next.getAndIncrement(), ranks.size()));
            if (!request.excluded().contains(candidate.key())) {
                return candidate;
            }
        }
        return null;
    }
}
