/** Test doubles of the platform, the model engines and plain services. */
@NullMarked
package firwheel.standin;

import org.jspecify.annotations.NullMarked;
