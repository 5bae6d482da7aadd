/** Open-loop load generator that checks every answer against the stand-ins' expected one. */
@NullMarked
package firwheel.load;

import org.jspecify.annotations.NullMarked;
