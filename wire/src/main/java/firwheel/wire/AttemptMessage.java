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
     * @param remainingMillis time left until the caller's deadline
     * @param estimatedTokens estimated prompt and output tokens
     * @param creditChunks chunks that the agent may send before it is granted more
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
            long remainingMillis,
            int estimatedTokens,
            int creditChunks)
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
     * Allows the agent to send more pieces.
     *
     * @param attempt the attempt
     * @param chunks pieces granted on top of earlier grants
     */
    record Credit(AttemptId attempt, int chunks) implements AttemptMessage {}

    /** Tells the agent that the caller has left. */
    record Cancel(AttemptId attempt) implements AttemptMessage {}

    /** Asks what became of an attempt, and forbids that it starts later. */
    record Fence(AttemptId attempt) implements AttemptMessage {}

    /**
     * Answers {@link Fence}.
     *
     * @param attempt the attempt
     * @param state name of the agent's record state
     * @param nextSequence first sequence number that the agent has not yet produced
     */
    record FenceResult(AttemptId attempt, String state, long nextSequence) implements AttemptMessage {}

    /**
     * Asks the agent to send an answer again from a sequence number on.
     *
     * @param attempt the attempt
     * @param fromSequence first piece wanted
     * @param creditChunks pieces that the agent may send
     */
    record Resume(AttemptId attempt, long fromSequence, int creditChunks) implements AttemptMessage {}
}
