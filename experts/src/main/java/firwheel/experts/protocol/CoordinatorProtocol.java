package firwheel.experts.protocol;

import java.util.List;

/** State machine of a coordinator. Implementations do no I/O; the caller verifies its lease before it sends orders. */
public interface CoordinatorProtocol {
    /** Handles a reply from a rank. */
    Transition onReply(CoordinatorState state, RankReply reply);

    /** Handles the timeout of the current phase. Also called periodically once the group is settled. */
    Transition onTimeout(CoordinatorState state);

    /** Result of one event: the new state and the orders to send. */
    record Transition(CoordinatorState state, List<AddressedOrder> orders) {
        public Transition {
            orders = List.copyOf(orders);
        }
    }

    /** An order and the endpoint of the agent that receives it. */
    record AddressedOrder(String member, MapOrder order) {}
}
