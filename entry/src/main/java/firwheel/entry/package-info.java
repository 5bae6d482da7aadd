/** The process that takes requests from callers. */
@NullMarked
package firwheel.entry;

import org.jspecify.annotations.NullMarked;
