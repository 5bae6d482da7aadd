package firwheel.cli;

import ch.qos.logback.classic.LoggerContext;
import java.util.Locale;
import org.slf4j.LoggerFactory;

/** Formats of the log. */
enum LogFormat {
    /** Lines for people, on standard error. */
    TEXT,
    /** JSON lines on standard error, beside results on standard output. */
    JSON,
    /** JSON lines on standard output, for processes that have no other output; a full queue drops lines. */
    SERVICE;

    /** Returns the format as settings name it. */
    static LogFormat ofLabel(String label) {
        return valueOf(label.toUpperCase(Locale.ROOT));
    }

    /** Makes the whole process log in this format. */
    void apply() {
        if (LoggerFactory.getILoggerFactory() instanceof LoggerContext context) {
            LogSetup.apply(context, this);
        }
    }
}
