/** Routing configuration as the operator wrote it, and the lookup of a request's route. No I/O. */
@NullMarked
package firwheel.proxy.config;

import org.jspecify.annotations.NullMarked;
