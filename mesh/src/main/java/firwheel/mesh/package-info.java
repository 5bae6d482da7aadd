/** Datagrams between the processes of one deployment, and which of these processes are alive. */
@NullMarked
package firwheel.mesh;

import org.jspecify.annotations.NullMarked;
