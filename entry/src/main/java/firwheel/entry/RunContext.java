package firwheel.entry;

import firwheel.admission.ClaimService;
import firwheel.model.TimeSource;
import firwheel.routing.RetryBudget;
import firwheel.routing.RoutingPolicy;
import firwheel.routing.RoutingView;
import io.vertx.core.Vertx;
import java.util.SplittableRandom;
import java.util.function.Supplier;

/**
 * What all requests of one entry share.
 *
 * @param vertx timers of the entry's event loop
 * @param links links to agents
 * @param policy routing policy
 * @param view present view of the table and of loads
 * @param claims claims of idempotency keys
 * @param retries retry budget of the entry
 * @param time clock
 * @param random source of attempt ids
 * @param onDroppedFrame counts a frame that was doubled, early, late or foreign
 */
record RunContext(
        Vertx vertx,
        AgentLinks links,
        RoutingPolicy policy,
        Supplier<RoutingView> view,
        ClaimService claims,
        RetryBudget retries,
        TimeSource time,
        SplittableRandom random,
        Runnable onDroppedFrame) {}
