package firwheel.model;

import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.event.Level;
import org.slf4j.spi.LoggingEventBuilder;

/** Logs numbered events as key-value pairs. Callers must not pass request bodies or secret keys. */
public final class Events {
    private Events() {}

    /** Logs {@code event} with the given attributes, as alternating keys and values. */
    public static void log(Logger logger, EventCode event, @Nullable Object... keysAndValues) {
        LoggingEventBuilder builder =
                logger.atLevel(Level.valueOf(event.severity().name())).addKeyValue("event", event.label());
        for (int i = 0; i + 1 < keysAndValues.length; i += 2) {
            builder = builder.addKeyValue(String.valueOf(keysAndValues[i]), keysAndValues[i + 1]);
        }
        builder.log(event.summary());
    }
}
