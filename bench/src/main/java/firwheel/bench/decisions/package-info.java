/**
 * Emulation of a day in virtual time, in which the decision classes of the entries run against models of a model group,
 * its callers and the network.
 */
@NullMarked
package firwheel.bench.decisions;

import org.jspecify.annotations.NullMarked;
