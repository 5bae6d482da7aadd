/**
 * Switch protocol: an atomic commitment protocol by which a group of ranks that run in lock step changes its expert map
 * so that no step runs under two maps. State machines only; the caller provides network, timers and lease.
 */
@NullMarked
package firwheel.experts.protocol;

import org.jspecify.annotations.NullMarked;
