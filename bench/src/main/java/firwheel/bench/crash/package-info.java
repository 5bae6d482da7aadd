/** Simulations of requests that crash targets, with the real decisions of the entries. */
@NullMarked
package firwheel.bench.crash;

import org.jspecify.annotations.NullMarked;
