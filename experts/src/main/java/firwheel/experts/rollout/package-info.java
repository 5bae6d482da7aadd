/** Rollout of a planned expert map to a group whose engines switch at a given step. No I/O. */
@NullMarked
package firwheel.experts.rollout;

import org.jspecify.annotations.NullMarked;
