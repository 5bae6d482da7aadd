package firwheel.cli;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.joran.JoranConfigurator;
import ch.qos.logback.core.joran.spi.JoranException;
import java.net.URL;
import java.util.Locale;
import java.util.Objects;
import org.slf4j.LoggerFactory;

/** Formats of the log, each an appender of {@code logback.xml}. */
enum LogFormat {
    TEXT,
    JSON;

    private static final String APPENDER_PROPERTY = "firwheel.appender";

    /** Returns the format as settings name it. */
    static LogFormat ofLabel(String label) {
        return valueOf(label.toUpperCase(Locale.ROOT));
    }

    /** Makes the whole process log in this format. */
    void apply() {
        if (!(LoggerFactory.getILoggerFactory() instanceof LoggerContext context)) {
            return;
        }
        URL configuration = Objects.requireNonNull(LogFormat.class.getResource("/logback.xml"), "logback.xml");
        context.reset();
        context.putProperty(APPENDER_PROPERTY, name());
        JoranConfigurator configurator = new JoranConfigurator();
        configurator.setContext(context);
        try {
            configurator.doConfigure(configuration);
        } catch (JoranException e) {
            throw new IllegalStateException(e);
        }
    }
}
