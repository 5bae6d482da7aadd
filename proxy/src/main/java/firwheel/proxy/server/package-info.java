/** Client-facing server, connections to targets, and the handling of each request. */
@NullMarked
package firwheel.proxy.server;

import org.jspecify.annotations.NullMarked;
