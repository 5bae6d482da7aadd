/** Metrics, health and status over HTTP, on a port of its own. */
@NullMarked
package firwheel.admin;

import org.jspecify.annotations.NullMarked;
