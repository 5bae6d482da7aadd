/** Agents on the hosts of a model group, and the elected controller of its expert map. */
@NullMarked
package firwheel.rebalance;

import org.jspecify.annotations.NullMarked;
