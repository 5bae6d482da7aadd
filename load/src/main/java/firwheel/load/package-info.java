/** Open-loop load generator that verifies every response of the stand-ins against the expected one. */
@NullMarked
package firwheel.load;

import org.jspecify.annotations.NullMarked;
