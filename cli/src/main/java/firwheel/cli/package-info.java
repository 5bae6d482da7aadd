/** Command-line interface of the firwheel binary: subcommands, settings files, logging and shutdown. */
@NullMarked
package firwheel.cli;

import org.jspecify.annotations.NullMarked;
