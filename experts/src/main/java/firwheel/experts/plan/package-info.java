/** Planning of expert maps: predicted skew and cost of moves, the incremental planner, and planners to compare with. */
@NullMarked
package firwheel.experts.plan;

import org.jspecify.annotations.NullMarked;
