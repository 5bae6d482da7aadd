/** Server for callers, connections to targets, and the run of one request. */
@NullMarked
package firwheel.proxy.server;

import org.jspecify.annotations.NullMarked;
