/** The entry process, which accepts requests from callers and routes them to agents. */
@NullMarked
package firwheel.entry;

import org.jspecify.annotations.NullMarked;
