package firwheel.table;

/**
 * Value of the revision row and of the marker rows of committed changes.
 *
 * @param revision table revision
 */
record StoredRevision(long revision) {}
