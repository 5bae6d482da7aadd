/** Benchmarks of the decisions with regression bounds. */
@NullMarked
package firwheel.bench;

import org.jspecify.annotations.NullMarked;
