package firwheel.experts.protocol;

import java.util.List;

/** Decides what a coordinator does next. Implementations do no I/O; the caller checks the lease before it sends. */
public interface CoordinatorProtocol {
    /** Returns the state and the orders after {@code reply}. */
    Transition onReply(CoordinatorState state, RankReply reply);

    /** Returns the state and the orders after the phase has lasted its time limit; also the periodic check. */
    Transition onTimeout(CoordinatorState state);

    /** Outcome of one input: the new state and the orders to send. */
    record Transition(CoordinatorState state, List<AddressedOrder> orders) {
        public Transition {
            orders = List.copyOf(orders);
        }
    }

    /** An order and the endpoint of the agent that it goes to. */
    record AddressedOrder(String member, MapOrder order) {}
}
