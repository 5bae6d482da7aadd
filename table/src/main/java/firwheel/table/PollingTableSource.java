package firwheel.table;

import firwheel.model.EventCode;
import firwheel.model.Events;
import firwheel.model.FirwheelException;
import firwheel.model.ResultCode;
import firwheel.model.TableSnapshot;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.Disposable;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Table source that polls the platform at a fixed interval and supplies the table with the highest revision read. */
public final class PollingTableSource implements Supplier<TableSnapshot>, AutoCloseable {
    private static final Logger logger = LoggerFactory.getLogger(PollingTableSource.class);

    private final TableReader reader;
    private final Disposable polling;
    private volatile TableSnapshot active = TableSnapshot.EMPTY;

    /** Starts polling immediately and then at {@code interval}. */
    public PollingTableSource(TableReader reader, Scheduler scheduler, Duration interval) {
        this.reader = reader;
        polling = scheduler.schedulePeriodicallyDirect(this::poll, 0, interval.toMillis(), TimeUnit.MILLISECONDS);
    }

    @Override
    public TableSnapshot get() {
        return active;
    }

    @Override
    public void close() {
        polling.dispose();
    }

    private void poll() {
        var unused = reader.readRevision()
                .thenCompose(revision -> reader.read())
                .whenComplete((table, error) -> {
                    if (error == null) {
                        activateIfNewer(table);
                    } else {
                        logFailure(FirwheelException.of(error));
                    }
                });
    }

    private synchronized void activateIfNewer(TableSnapshot table) {
        if (table.revision() > active.revision()) {
            active = table;
            Events.log(logger, EventCode.TABLE_IN_FORCE, "revision", table.revision());
        }
    }

    private static void logFailure(FirwheelException failure) {
        EventCode event = failure.code() == ResultCode.TABLE_FIELD ? EventCode.TABLE_REJECTED : EventCode.PLATFORM_DOWN;
        Events.log(logger, event, "code", failure.code().label());
    }
}
