package firwheel.peers;

import firwheel.model.TableSnapshot;
import java.util.function.Supplier;

/** Table source of a process that is still starting; supplies the empty table until its delegate is set. */
public final class DeferredTableSource implements Supplier<TableSnapshot> {
    private volatile Supplier<TableSnapshot> delegate = () -> TableSnapshot.EMPTY;

    /** Sets the source that supplies the table from now on. */
    public void setDelegate(Supplier<TableSnapshot> newDelegate) {
        delegate = newDelegate;
    }

    @Override
    public TableSnapshot get() {
        return delegate.get();
    }
}
