package firwheel.model;

import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.event.Level;
import org.slf4j.spi.LoggingEventBuilder;

/** Writes numbered events to a logger as key-value pairs. Request bodies and keys are never passed in. */
public final class Events {
    private Events() {}

    /** Logs {@code event} with alternating keys and values. */
    public static void log(Logger logger, EventCode event, @Nullable Object... keysAndValues) {
        LoggingEventBuilder builder =
                logger.atLevel(Level.valueOf(event.severity().name())).addKeyValue("event", event.label());
        for (int i = 0; i + 1 < keysAndValues.length; i += 2) {
            builder = builder.addKeyValue(String.valueOf(keysAndValues[i]), keysAndValues[i + 1]);
        }
        builder.log(event.summary());
    }
}
