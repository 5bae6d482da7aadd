package firwheel.admission;

import firwheel.model.ResultCode;
import org.jspecify.annotations.Nullable;

/** Result of fencing an attempt at its agent. */
public sealed interface FenceOutcome {
    /** The attempt did not run in this process and never will. */
    record NeverAdmitted() implements FenceOutcome {}

    /** The attempt is queued or running; its stream can be resumed from {@code firstHeldSequence}. */
    record Running(long firstHeldSequence, long nextSequence) implements FenceOutcome {}

    /**
     * The attempt has ended.
     *
     * @param firstHeldSequence sequence number of the first chunk that is still buffered
     * @param chunkCount number of chunks in the whole stream
     * @param failure code of the failure, or null if the attempt completed
     */
    record Ended(long firstHeldSequence, long chunkCount, @Nullable ResultCode failure) implements FenceOutcome {}

    /** The agent does not know whether the attempt ran. */
    record Unknown(ResultCode code) implements FenceOutcome {}
}
