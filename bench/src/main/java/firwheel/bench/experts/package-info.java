/** Benchmark of the expert map planners while the popularity of experts drifts. */
@NullMarked
package firwheel.bench.experts;

import org.jspecify.annotations.NullMarked;
