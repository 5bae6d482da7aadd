/** Benchmark of the expert-map planners under drifting popularity. */
@NullMarked
package firwheel.bench.experts;

import org.jspecify.annotations.NullMarked;
