/** The process beside each target. */
@NullMarked
package firwheel.agent;

import org.jspecify.annotations.NullMarked;
