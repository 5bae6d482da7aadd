/** Admission, fair queueing, duplicate suppression and claims. */
@NullMarked
package firwheel.admission;

import org.jspecify.annotations.NullMarked;
