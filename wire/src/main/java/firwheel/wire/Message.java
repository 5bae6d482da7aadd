package firwheel.wire;

/** A message between two firwheel processes. Its number on the wire is fixed by {@link MessageType}. */
public interface Message {}
