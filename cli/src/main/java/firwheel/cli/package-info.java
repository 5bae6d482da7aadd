/** The firwheel binary. */
@NullMarked
package firwheel.cli;

import org.jspecify.annotations.NullMarked;
