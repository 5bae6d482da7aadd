/** Expert placement in mixture-of-experts models: maps, planning, and the protocols that switch maps. */
@NullMarked
package firwheel.experts;

import org.jspecify.annotations.NullMarked;
