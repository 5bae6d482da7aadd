package firwheel.wire;

/** A message between two firwheel processes. {@link MessageType} assigns the type number sent on the wire. */
public interface Message {}
