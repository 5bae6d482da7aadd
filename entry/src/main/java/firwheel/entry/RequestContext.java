package firwheel.entry;

import firwheel.admission.ClaimService;
import firwheel.model.TimeSource;
import io.vertx.core.Vertx;
import java.util.SplittableRandom;

/**
 * State and services shared by all requests of one entry.
 *
 * @param vertx source of timers on the entry's event loop
 * @param links links to agents
 * @param router routing decisions and retry budgets
 * @param claims service that claims idempotency keys in the store
 * @param time source of time
 * @param random source of randomness for attempt ids
 * @param onDroppedFrame called for each dropped frame: duplicate, early, late, or of an unknown attempt
 */
record RequestContext(
        Vertx vertx,
        AgentLinks links,
        Router router,
        ClaimService claims,
        TimeSource time,
        SplittableRandom random,
        Runnable onDroppedFrame) {}
