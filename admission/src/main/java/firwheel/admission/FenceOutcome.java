package firwheel.admission;

import firwheel.model.ResultCode;
import org.jspecify.annotations.Nullable;

/** What an agent knows of an attempt when it is asked to fence it. */
public sealed interface FenceOutcome {
    /** The attempt did not run in this process and never will. */
    record NeverAdmitted() implements FenceOutcome {}

    /** The attempt runs; its stream can be resumed from {@code firstHeldSequence} on. */
    record Running(long firstHeldSequence, long nextSequence) implements FenceOutcome {}

    /**
     * The attempt has ended.
     *
     * @param firstHeldSequence first chunk that can still be fetched
     * @param chunkCount chunks of the whole stream
     * @param failure code of the failure, or null where the attempt completed
     */
    record Ended(long firstHeldSequence, long chunkCount, @Nullable ResultCode failure) implements FenceOutcome {}

    /** The agent cannot tell whether the attempt ran. */
    record Unknown(ResultCode code) implements FenceOutcome {}
}
