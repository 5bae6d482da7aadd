package firwheel.cli;

import ch.qos.logback.classic.LoggerContext;
import java.util.Locale;
import org.slf4j.LoggerFactory;

/** Log output formats. */
enum LogFormat {
    /** Human-readable lines on standard error. */
    TEXT,
    /** JSON lines on standard error; standard output carries only the results of a command. */
    JSON,
    /**
     * JSON lines on standard output, for processes without other output. When the output is slow, lines are dropped,
     * INFO and below first.
     */
    SERVICE;

    /** Returns the format for its name in lower case, as used in settings. */
    static LogFormat ofLabel(String label) {
        return valueOf(label.toUpperCase(Locale.ROOT));
    }

    /** Switches the logging of the whole process to this format. */
    void apply() {
        if (LoggerFactory.getILoggerFactory() instanceof LoggerContext context) {
            LogSetup.apply(context, this);
        }
    }
}
