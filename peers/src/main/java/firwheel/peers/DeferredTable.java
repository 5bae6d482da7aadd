package firwheel.peers;

import firwheel.model.TableSnapshot;
import java.util.function.Supplier;

/** Table of a process that is still starting: empty until its source is set. */
public final class DeferredTable implements Supplier<TableSnapshot> {
    private volatile Supplier<TableSnapshot> source = () -> TableSnapshot.EMPTY;

    /** Sets where the table comes from. */
    public void set(Supplier<TableSnapshot> newSource) {
        source = newSource;
    }

    @Override
    public TableSnapshot get() {
        return source.get();
    }
}
