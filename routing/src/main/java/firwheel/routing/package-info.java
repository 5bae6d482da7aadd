/** Routing decisions as pure computations on immutable snapshots. */
@NullMarked
package firwheel.routing;

import org.jspecify.annotations.NullMarked;
