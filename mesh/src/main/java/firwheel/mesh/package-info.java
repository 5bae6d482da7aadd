/** Authenticated communication between the processes of one deployment, and tracking which of them are alive. */
@NullMarked
package firwheel.mesh;

import org.jspecify.annotations.NullMarked;
