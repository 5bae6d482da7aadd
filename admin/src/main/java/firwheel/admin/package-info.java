/** Metrics, health checks and status over HTTP, on a separate port. */
@NullMarked
package firwheel.admin;

import org.jspecify.annotations.NullMarked;
