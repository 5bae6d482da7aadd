package firwheel.entry;

import firwheel.admission.ClaimService;
import firwheel.model.TimeSource;
import io.vertx.core.Vertx;
import java.util.SplittableRandom;

/**
 * What all requests of one entry share.
 *
 * @param vertx timers of the entry's event loop
 * @param links links to agents
 * @param router routing by known loads, and retry budgets
 * @param claims claims of idempotency keys
 * @param time clock
 * @param random source of attempt ids
 * @param onDroppedFrame counts a frame that was doubled, early, late or foreign
 */
record RequestContext(
        Vertx vertx,
        AgentLinks links,
        Router router,
        ClaimService claims,
        TimeSource time,
        SplittableRandom random,
        Runnable onDroppedFrame) {}
