package firwheel.experts.protocol;

import firwheel.experts.MapId;

/**
 * Order of a coordinator to one rank's agent. All but {@link QueryStatus} name the incarnation of the agent that they are
 * meant for.
 */
public sealed interface MapOrder {
    /** Returns the coordinator's round; an agent ignores orders of rounds below the highest it has seen. */
    RoundNumber round();

    /** Asks for the rank's status and binds it to refuse proposals of this and all earlier rounds. */
    record QueryStatus(RoundNumber round) implements MapOrder {}

    /** Asks the rank to load the experts that {@code map} places on it. */
    record Stage(RoundNumber round, long incarnation, MapId map) implements MapOrder {}

    /** Asks the rank to accept {@code proposal} and to run no step from its first one until the outcome is known. */
    record Propose(Proposal proposal, long incarnation) implements MapOrder {
        @Override
        public RoundNumber round() {
            return proposal.number();
        }
    }

    /** Tells the outcome of {@code proposal}. */
    record Decide(RoundNumber round, long incarnation, Proposal proposal, Decision decision) implements MapOrder {}

    /** Outcome of a proposal. */
    enum Decision {
        COMMIT,
        ABORT
    }
}
