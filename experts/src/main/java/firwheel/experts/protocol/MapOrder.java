package firwheel.experts.protocol;

import firwheel.experts.MapId;

/**
 * Order from a coordinator to the agent of one rank. All but {@link QueryStatus} carry the incarnation of the agent
 * that they are addressed to.
 */
public sealed interface MapOrder {
    /** Returns the coordinator's round; an agent refuses orders of rounds below the highest it has seen. */
    RoundNumber round();

    /** Requests the rank's status; the rank then refuses proposals of this and all earlier rounds. */
    record QueryStatus(RoundNumber round) implements MapOrder {}

    /** Orders the rank to load the experts that {@code map} places on it. */
    record Stage(RoundNumber round, long incarnation, MapId map) implements MapOrder {}

    /**
     * Asks the rank to accept {@code proposal}, and then to stop before the proposal's first step until the decision.
     */
    record Propose(Proposal proposal, long incarnation) implements MapOrder {
        @Override
        public RoundNumber round() {
            return proposal.number();
        }
    }

    /** Announces the decision about {@code proposal}. */
    record Decide(RoundNumber round, long incarnation, Proposal proposal, Decision decision) implements MapOrder {}

    /** Decision about a proposal. */
    enum Decision {
        COMMIT,
        ABORT
    }
}
