/** Expert placement planning and the map switch protocol. */
@NullMarked
package firwheel.experts;

import org.jspecify.annotations.NullMarked;
