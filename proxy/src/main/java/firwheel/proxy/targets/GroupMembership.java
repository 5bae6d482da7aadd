package firwheel.proxy.targets;

/**
 * The place of a target in a model group.
 *
 * @param name name of the group
 * @param epoch number of the group's present formation
 * @param rank rank of the target
 * @param open whether the group computes; otherwise a rank is missing
 */
public record GroupMembership(String name, long epoch, int rank, boolean open) {}
