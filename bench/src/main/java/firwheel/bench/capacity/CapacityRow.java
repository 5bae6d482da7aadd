package firwheel.bench.capacity;

import java.util.OptionalDouble;
import java.util.function.ToDoubleBiFunction;

/**
 * One line of the capacity page.
 *
 * @param role process or service that carries it
 * @param quantity what is counted, with its unit
 * @param mechanism what carries it
 * @param limit stated limit, or empty where none is stated
 * @param remedy change with which it would hold, or empty
 * @param formula value at a size
 */
record CapacityRow(
        String role,
        String quantity,
        String mechanism,
        OptionalDouble limit,
        String remedy,
        ToDoubleBiFunction<DeploymentSize, RecordedSlopes> formula) {

    /** Returns whether the row holds at a size, in words. */
    String verdict(DeploymentSize size, RecordedSlopes slopes) {
        if (limit.isEmpty()) {
            return "no limit stated";
        }
        if (formula.applyAsDouble(size, slopes) <= limit.getAsDouble()) {
            return "holds";
        }
        return remedy.isEmpty() ? "does not hold" : "holds with a change: " + remedy;
    }
}
