/** Puts a planned expert map into force on a group whose engines switch at a step that they are told. No I/O. */
@NullMarked
package firwheel.experts.rollout;

import org.jspecify.annotations.NullMarked;
