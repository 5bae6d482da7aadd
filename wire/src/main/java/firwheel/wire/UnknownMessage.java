package firwheel.wire;

/** A message of a type that this version does not know; receivers count and ignore it. */
public record UnknownMessage(int type) implements Message {}
