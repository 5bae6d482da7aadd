/** Benchmarks of routing, expert placement and table distribution, and the capacity model. */
@NullMarked
package firwheel.bench;

import org.jspecify.annotations.NullMarked;
