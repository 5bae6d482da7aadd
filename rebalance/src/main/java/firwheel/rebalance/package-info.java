/** Agents beside the ranks of a model group, and the controller of its expert map among them. */
@NullMarked
package firwheel.rebalance;

import org.jspecify.annotations.NullMarked;
