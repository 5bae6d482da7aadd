/** Measures the distribution of the table over sockets. */
@NullMarked
package firwheel.bench.table;

import org.jspecify.annotations.NullMarked;
