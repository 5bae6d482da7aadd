package firwheel.cli;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.LoggingEvent;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import ch.qos.logback.core.Appender;
import ch.qos.logback.core.AppenderBase;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

final class LogSetupTest {
    private static final int LINE_COUNT = 20_000;

    private final LoggerContext context = new LoggerContext();
    private final CountDownLatch readerResumed = new CountDownLatch(1);
    private final List<ILoggingEvent> written = new CopyOnWriteArrayList<>();

    /** Output that blocks until its reader resumes. */
    private final class BlockedOutput extends AppenderBase<ILoggingEvent> {
        @Override
        protected void append(ILoggingEvent event) {
            try {
                readerResumed.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            written.add(event);
        }
    }

    private LoggingEvent event(Level level, int number) {
        return new LoggingEvent("", context.getLogger("test"), level, "line " + number, null, null);
    }

    @Nested
    final class BlockedReader {
        @Test
        @Timeout(60)
        void neverBlocksTheWriterAndDropsInfoFirst() {
            context.setMDCAdapter(new LogbackMDCAdapter());
            BlockedOutput output = new BlockedOutput();
            output.setContext(context);
            output.start();
            Appender<ILoggingEvent> appender = LogSetup.nonBlocking(context, output);

            for (int i = 0; i < LINE_COUNT; i++) {
                appender.doAppend(event(Level.INFO, i));
            }
            appender.doAppend(event(Level.WARN, LINE_COUNT));
            readerResumed.countDown();
            appender.stop();

            assertThat(written).hasSizeLessThan(LINE_COUNT);
            assertThat(written).last().extracting(ILoggingEvent::getLevel).isEqualTo(Level.WARN);
        }
    }
}
