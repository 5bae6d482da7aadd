package firwheel.store;

import java.util.List;

/** Writes that are applied atomically, and only if all conditions hold. */
public record Transaction(List<Condition> conditions, List<Write> writes) {
    public Transaction {
        conditions = List.copyOf(conditions);
        writes = List.copyOf(writes);
    }
}
