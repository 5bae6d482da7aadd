/** The agent process, which runs next to each target and admits, executes and reports on its attempts. */
@NullMarked
package firwheel.agent;

import org.jspecify.annotations.NullMarked;
