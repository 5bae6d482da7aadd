/** Directory of the registered targets. Performs no I/O. */
@NullMarked
package firwheel.proxy.targets;

import org.jspecify.annotations.NullMarked;
