package firwheel.model;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs steps that callbacks of the event loop begin. An exception that leaves such a callback is only logged by the event
 * loop; what the step was to do or to end stays open. Each step of a request runs within the boundary of that request.
 */
public final class FaultBoundary {
    /** Ends what a step has left open. */
    @FunctionalInterface
    public interface Listener {
        /**
         * Called after a step has thrown.
         *
         * @param step what was done, for the log
         */
        void onFault(String step, Throwable fault);
    }

    private static final Logger logger = LoggerFactory.getLogger(FaultBoundary.class);

    private final Listener listener;

    /** Creates a boundary whose faults {@code listener} handles. */
    public FaultBoundary(Listener listener) {
        this.listener = listener;
    }

    /** Returns a boundary for steps that belong to no request, whose faults are logged. */
    public static FaultBoundary ofProcess() {
        return new FaultBoundary((step, fault) -> logger.atError()
                .addKeyValue("event", EventCode.UNCAUGHT_EXCEPTION.label())
                .addKeyValue("step", step)
                .setCause(fault)
                .log(EventCode.UNCAUGHT_EXCEPTION.summary()));
    }

    /** Runs a step; returns whether it has not thrown. */
    public boolean run(String step, Runnable action) {
        try {
            action.run();
            return true;
        } catch (Throwable fault) { // an Error leaves as much open as an exception
            listener.onFault(step, fault);
            return false;
        }
    }

    /** Returns a callback that runs a step. */
    public Runnable wrap(String step, Runnable action) {
        return () -> {
            var unused = run(step, action);
        };
    }
}
