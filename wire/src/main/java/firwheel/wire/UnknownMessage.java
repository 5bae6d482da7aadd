package firwheel.wire;

/** Placeholder for a message whose type this version does not know. Receivers ignore it. */
public record UnknownMessage(int type) implements Message {}
