package firwheel.experts.protocol;

import firwheel.experts.MapId;
import org.jspecify.annotations.Nullable;

/** State machine of the agent of a rank. Implementations do no I/O. */
@FunctionalInterface
public interface RankProtocol {
    /** Handles an order from a coordinator. */
    Transition handle(RankState state, MapOrder order);

    /**
     * Result of one order: the rank's new state and its reply.
     *
     * @param mapToStage map whose experts the agent must load; null if none
     */
    record Transition(RankState state, RankReply reply, @Nullable MapId mapToStage) {}
}
