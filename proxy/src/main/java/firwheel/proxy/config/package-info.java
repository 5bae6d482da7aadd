/** The operator's routing configuration and the lookup of routes. Performs no I/O. */
@NullMarked
package firwheel.proxy.config;

import org.jspecify.annotations.NullMarked;
