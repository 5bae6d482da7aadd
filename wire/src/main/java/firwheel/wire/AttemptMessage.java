package firwheel.wire;

import firwheel.model.AttemptId;

/** A message about one attempt to run a request. Byte arrays are not shared after a message was sent or received. */
@SuppressWarnings("ArrayRecordComponent")
public sealed interface AttemptMessage extends Message {
    /** Returns the attempt that the message is about. */
    AttemptId attempt();

    /**
     * Asks an agent to run a request.
     *
     * @param attempt fresh id of this attempt
     * @param agentIncarnation incarnation of the agent that it is meant for
     * @param row name of the row
     * @param rank rank of the target in its row
     * @param organisation organisation of the caller
     * @param priority name of {@link firwheel.model.Priority}
     * @param idempotent whether the request may be run again
     * @param method HTTP method towards the target
     * @param path HTTP path towards the target
     * @param contentType content type of the body
     * @param idempotencyKey key that the caller gave, or empty
     * @param body body of the request
     * @param deadlineMillis reading of the agent's clock at which the caller's deadline passes
     * @param estimatedTokens estimated prompt and output tokens
     * @param creditChunks chunks that the agent may send before it is granted more
     * @param admitByMillis reading of the agent's clock until which the attempt may be received
     */
    record Dispatch(
            AttemptId attempt,
            long agentIncarnation,
            String row,
            int rank,
            String organisation,
            String priority,
            boolean idempotent,
            String method,
            String path,
            String contentType,
            String idempotencyKey,
            byte[] body,
            long deadlineMillis,
            int estimatedTokens,
            int creditChunks,
            long admitByMillis)
            implements AttemptMessage {}

    /**
     * Says that the attempt did not run and never will.
     *
     * @param attempt the attempt
     * @param code number of the {@link firwheel.model.ResultCode}
     * @param retryAfterMillis time after which a retry makes sense
     * @param detail what happened
     */
    record Refused(AttemptId attempt, int code, long retryAfterMillis, String detail) implements AttemptMessage {}

    /**
     * Starts an answer.
     *
     * @param attempt the attempt
     * @param status HTTP status of the target's answer
     * @param contentType content type of the answer
     */
    record Head(AttemptId attempt, int status, String contentType) implements AttemptMessage {}

    /**
     * One piece of an answer.
     *
     * @param attempt the attempt
     * @param sequence position of the piece, from 0
     * @param data bytes of the piece; one whole event where the answer is an event stream
     */
    record Chunk(AttemptId attempt, long sequence, byte[] data) implements AttemptMessage {}

    /**
     * Ends a whole answer.
     *
     * @param attempt the attempt
     * @param chunkCount pieces sent in all
     * @param crc32c checksum over the bytes of all pieces in order
     */
    record End(AttemptId attempt, long chunkCount, int crc32c) implements AttemptMessage {}

    /**
     * Says that the attempt ran and its answer cannot be finished.
     *
     * @param attempt the attempt
     * @param code number of the {@link firwheel.model.ResultCode}
     * @param detail what happened
     */
    record Failed(AttemptId attempt, int code, String detail) implements AttemptMessage {}

    /**
     * Says which pieces the entry has, and allows the agent to send more.
     *
     * @param attempt the attempt
     * @param chunks pieces granted on top of earlier grants
     * @param nextSequence first piece that the entry does not have; the agent may forget those before it
     */
    record Credit(AttemptId attempt, int chunks, long nextSequence) implements AttemptMessage {}

    /** Says that the entry has judged the answer whole; the agent may forget it. */
    record Received(AttemptId attempt) implements AttemptMessage {}

    /** Tells the agent that the caller has left. */
    record Cancel(AttemptId attempt) implements AttemptMessage {}

    /**
     * Asks what became of an attempt, and forbids that it starts later.
     *
     * @param attempt the attempt
     * @param agentIncarnation incarnation of the agent that it was meant for
     * @param admitByMillis reading of the agent's clock until which the attempt may be received
     */
    record Fence(AttemptId attempt, long agentIncarnation, long admitByMillis) implements AttemptMessage {}

    /**
     * Answers {@link Fence}.
     *
     * @param attempt the attempt
     * @param state what the agent knows
     * @param firstHeldSequence first piece that can still be sent
     * @param nextSequence first piece that the agent has not yet produced
     * @param code number of the {@link firwheel.model.ResultCode} of a failure or of an unknown outcome, or 0
     */
    record FenceReply(AttemptId attempt, FenceState state, long firstHeldSequence, long nextSequence, int code)
            implements AttemptMessage {}

    /** What an agent knows of a fenced attempt. */
    enum FenceState {
        /** It did not run and never will. */
        NEVER_ADMITTED,
        /** It runs. */
        RUNNING,
        /** It has ended. */
        ENDED,
        /** The agent cannot tell. */
        UNKNOWN
    }

    /**
     * Asks the agent to send an answer again from a sequence number on.
     *
     * @param attempt the attempt
     * @param fromSequence first piece wanted
     * @param creditChunks pieces that the agent may send
     */
    record Resume(AttemptId attempt, long fromSequence, int creditChunks) implements AttemptMessage {}
}
