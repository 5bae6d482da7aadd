/** Emulation of entries that keep up with the platform's store, in virtual time. */
@NullMarked
package firwheel.bench.feeds;

import org.jspecify.annotations.NullMarked;
