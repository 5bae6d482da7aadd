/** Deterministic benchmark of routing policies on a small model of lock-step groups, in virtual time. */
@NullMarked
package firwheel.bench.routing;

import org.jspecify.annotations.NullMarked;
