/**
 * Switch protocol: a group of lock-step ranks changes its expert map so that no step runs under two maps. Pure values
 * and decisions; whoever calls them owns the network, the timers and the lease.
 */
@NullMarked
package firwheel.experts.protocol;

import org.jspecify.annotations.NullMarked;
