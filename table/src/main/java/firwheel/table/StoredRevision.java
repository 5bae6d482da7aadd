package firwheel.table;

/**
 * Value of the revision row and of a change marker.
 *
 * @param revision table revision
 */
record StoredRevision(long revision) {}
