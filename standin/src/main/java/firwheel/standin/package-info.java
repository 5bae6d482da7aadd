/** Simulated platform, model engines and plain services for tests, benchmarks and the demo. */
@NullMarked
package firwheel.standin;

import org.jspecify.annotations.NullMarked;
