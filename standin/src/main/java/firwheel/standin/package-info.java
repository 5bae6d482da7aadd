/** Small in-process replacements for the platform, the model engines and plain services. */
@NullMarked
package firwheel.standin;

import org.jspecify.annotations.NullMarked;
