package firwheel.bench.capacity;

import java.util.OptionalDouble;
import java.util.function.ToDoubleBiFunction;

/**
 * One row of the capacity page.
 *
 * @param role process or service whose resources are used
 * @param quantity measured quantity, with its unit
 * @param mechanism what causes the usage, or bounds it
 * @param limit upper limit, or empty if none is defined
 * @param remedy change that would keep the quantity within its limit, or empty
 * @param formula value for a deployment size and measured slopes
 */
record CapacityRow(
        String role,
        String quantity,
        String mechanism,
        OptionalDouble limit,
        String remedy,
        ToDoubleBiFunction<DeploymentSize, RecordedSlopes> formula) {

    /** Returns a phrase that tells whether the quantity stays within its limit at a size. */
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
