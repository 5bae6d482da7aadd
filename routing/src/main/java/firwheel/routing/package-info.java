/** Pure routing decisions over immutable snapshots. */
@NullMarked
package firwheel.routing;

import org.jspecify.annotations.NullMarked;
