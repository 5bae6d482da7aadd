package firwheel.cli;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.Appender;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import ch.qos.logback.core.spi.ContextAwareBase;
import net.logstash.logback.encoder.LogstashEncoder;
import net.logstash.logback.fieldnames.LogstashFieldNames;
import org.slf4j.Logger;

/** Configures Logback in code, because parsing an XML configuration takes a tenth of the CPU time of a start. */
public final class LogSetup extends ContextAwareBase implements Configurator {
    /** System property with the initial {@link LogFormat} in lower case. */
    static final String FORMAT_PROPERTY = "firwheel.log";

    private static final String TEXT_PATTERN =
            "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} %-5level %logger{0} %msg %kvp%n%ex{short}";
    private static final int QUEUE_CAPACITY_LINES = 2_048; // several seconds of the output of a busy entry
    private static final int INFO_DISCARD_THRESHOLD_LINES = 512; // with fewer free places, INFO and below are dropped
    private static final int MAX_LOGGER_NAME_LENGTH = 20; // keeps the class name; package names are abbreviated

    @Override
    public ExecutionStatus configure(LoggerContext context) {
        apply(context, LogFormat.ofLabel(System.getProperty(FORMAT_PROPERTY, "text")));
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
    }

    /** Replaces the appenders of {@code context} by one that writes in {@code format}. */
    static void apply(LoggerContext context, LogFormat format) {
        Appender<ILoggingEvent> appender =
                switch (format) {
                    case TEXT -> consoleAppender(context, "System.err", textEncoder(context));
                    case JSON -> consoleAppender(context, "System.err", new LogstashEncoder());
                    case SERVICE -> nonBlocking(context, consoleAppender(context, "System.out", compactJsonEncoder()));
                };
        context.getLogger("io.netty").setLevel(Level.WARN);
        ch.qos.logback.classic.Logger root = context.getLogger(Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.INFO);
        root.detachAndStopAllAppenders();
        root.addAppender(appender);
    }

    private static Encoder<ILoggingEvent> textEncoder(LoggerContext context) {
        PatternLayoutEncoder encoder = new PatternLayoutEncoder();
        encoder.setContext(context);
        encoder.setPattern(TEXT_PATTERN);
        return encoder;
    }

    private static Encoder<ILoggingEvent> compactJsonEncoder() {
        LogstashFieldNames names = new LogstashFieldNames();
        names.setTimestamp("time");
        names.setVersion("[ignore]");
        names.setThread("[ignore]");
        names.setLevelValue("[ignore]");
        LogstashEncoder encoder = new LogstashEncoder();
        encoder.setFieldNames(names);
        encoder.setShortenedLoggerNameLength(MAX_LOGGER_NAME_LENGTH);
        return encoder;
    }

    private static Appender<ILoggingEvent> consoleAppender(
            LoggerContext context, String target, Encoder<ILoggingEvent> encoder) {
        encoder.setContext(context);
        encoder.start();
        ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
        appender.setContext(context);
        appender.setTarget(target);
        appender.setEncoder(encoder);
        appender.start();
        return appender;
    }

    /** Returns an appender that drops lines when {@code output} is slow, so that logging never delays a request. */
    static Appender<ILoggingEvent> nonBlocking(LoggerContext context, Appender<ILoggingEvent> output) {
        AsyncAppender appender = new AsyncAppender();
        appender.setContext(context);
        appender.setQueueSize(QUEUE_CAPACITY_LINES);
        appender.setDiscardingThreshold(INFO_DISCARD_THRESHOLD_LINES);
        appender.setNeverBlock(true);
        appender.addAppender(output);
        appender.start();
        Runtime.getRuntime().addShutdownHook(new Thread(appender::stop, "log-flush"));
        return appender;
    }
}
