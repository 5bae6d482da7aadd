package firwheel.proxy.targets;

/**
 * Membership of a target in a model group.
 *
 * @param name name of the group
 * @param epoch epoch of the group, incremented each time it is formed
 * @param rank rank of the target
 * @param open whether the group is serving; false while a rank is missing
 */
public record GroupMembership(String name, long epoch, int rank, boolean open) {}
