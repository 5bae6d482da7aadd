/** Deterministic simulation of routing policies on groups of ranks that run in lock step, in virtual time. */
@NullMarked
package firwheel.bench.routing;

import org.jspecify.annotations.NullMarked;
