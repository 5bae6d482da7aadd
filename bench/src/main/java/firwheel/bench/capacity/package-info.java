/** Computes resource usage at the current size and at the design size from measured unit costs. */
@NullMarked
package firwheel.bench.capacity;

import org.jspecify.annotations.NullMarked;
