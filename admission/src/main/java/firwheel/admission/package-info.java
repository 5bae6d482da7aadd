/** Admission control, fair queueing, duplicate suppression and claims on idempotency keys. */
@NullMarked
package firwheel.admission;

import org.jspecify.annotations.NullMarked;
