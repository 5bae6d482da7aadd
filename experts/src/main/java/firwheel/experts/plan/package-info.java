/** Planning of expert maps: cost model, the incremental planner, and baseline planners. */
@NullMarked
package firwheel.experts.plan;

import org.jspecify.annotations.NullMarked;
