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
    private static final int LINES = 20_000;

    private final LoggerContext context = new LoggerContext();
    private final CountDownLatch readerGoesOn = new CountDownLatch(1);
    private final List<ILoggingEvent> written = new CopyOnWriteArrayList<>();

    /** Output whose reader has stopped reading. */
    private final class StuckOutput extends AppenderBase<ILoggingEvent> {
        @Override
        protected void append(ILoggingEvent event) {
            try {
                readerGoesOn.await();
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
    final class StuckReader {
        @Test
        @Timeout(60)
        void neverHoldsTheWriterUpAndLosesInfoFirst() {
            context.setMDCAdapter(new LogbackMDCAdapter());
            StuckOutput output = new StuckOutput();
            output.setContext(context);
            output.start();
            Appender<ILoggingEvent> appender = LogSetup.neverBlocking(context, output);

            for (int i = 0; i < LINES; i++) {
                appender.doAppend(event(Level.INFO, i));
            }
            appender.doAppend(event(Level.WARN, LINES));
            readerGoesOn.countDown();
            appender.stop();

            assertThat(written).hasSizeLessThan(LINES);
            assertThat(written).last().extracting(ILoggingEvent::getLevel).isEqualTo(Level.WARN);
        }
    }
}
