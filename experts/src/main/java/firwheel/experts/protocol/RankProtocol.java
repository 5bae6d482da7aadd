package firwheel.experts.protocol;

import firwheel.experts.MapId;
import org.jspecify.annotations.Nullable;

/** Decides what a rank's agent does with an order. Implementations do no I/O. */
@FunctionalInterface
public interface RankProtocol {
    /** Returns the rank's new state and its reply. */
    Transition handle(RankState state, MapOrder order);

    /**
     * Outcome of one order.
     *
     * @param mapToStage map whose experts the agent has to load; null if none
     */
    record Transition(RankState state, RankReply reply, @Nullable MapId mapToStage) {}
}
