/** Targets that are known to run, and what is believed of their health. No I/O. */
@NullMarked
package firwheel.proxy.targets;

import org.jspecify.annotations.NullMarked;
