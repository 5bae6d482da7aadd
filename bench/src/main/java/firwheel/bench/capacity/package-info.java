/** Capacity at today's size and at the design size, worked out from measured slopes. */
@NullMarked
package firwheel.bench.capacity;

import org.jspecify.annotations.NullMarked;
