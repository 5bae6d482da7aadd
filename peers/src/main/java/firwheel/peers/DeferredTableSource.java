package firwheel.peers;

import firwheel.model.TableSnapshot;
import java.util.function.Supplier;

/** Table of a process that is still starting: empty until its source is set. */
public final class DeferredTableSource implements Supplier<TableSnapshot> {
    private volatile Supplier<TableSnapshot> delegate = () -> TableSnapshot.EMPTY;

    /** Sets where the table comes from. */
    public void setDelegate(Supplier<TableSnapshot> newDelegate) {
        delegate = newDelegate;
    }

    @Override
    public TableSnapshot get() {
        return delegate.get();
    }
}
