/** Benchmark of table distribution over TCP links. */
@NullMarked
package firwheel.bench.table;

import org.jspecify.annotations.NullMarked;
