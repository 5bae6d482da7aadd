/** Synchronizes the table between processes over links. */
@NullMarked
package firwheel.peers;

import org.jspecify.annotations.NullMarked;
