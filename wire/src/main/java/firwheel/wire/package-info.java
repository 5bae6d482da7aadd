/** Framed MessagePack messages and authenticated links between firwheel processes. */
@NullMarked
package firwheel.wire;

import org.jspecify.annotations.NullMarked;
