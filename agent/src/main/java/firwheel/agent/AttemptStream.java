package firwheel.agent;

import firwheel.admission.ResponseHead;
import firwheel.admission.StreamBuffer;
import firwheel.admission.StreamChunk;
import firwheel.admission.StreamEnd;
import firwheel.model.AttemptId;
import firwheel.model.ResultCode;
import firwheel.wire.AttemptMessage;
import firwheel.wire.Link;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Sends the response of one attempt over the entry's current link, within the credits granted by the entry. Without a
 * link, the response accumulates in the buffer. Used on the agent's event loop only.
 */
final class AttemptStream {
    private final AttemptId attempt;
    private final StreamBuffer buffer;
    private final Consumer<Link> beforeChunk;
    private @Nullable Link link;
    private long credits;
    private long nextSendSequence;
    private boolean headSent;
    private boolean endSent;

    /** Creates a stream; {@code beforeChunk} is called with the link before each chunk is sent. */
    AttemptStream(AttemptId attempt, StreamBuffer buffer, Consumer<Link> beforeChunk) {
        this.attempt = attempt;
        this.beforeChunk = beforeChunk;
        this.buffer = buffer;
    }

    /** Resumes sending at {@code fromSequence} over a new link; returns false if that chunk is no longer buffered. */
    boolean attach(Link newLink, long fromSequence, int creditChunks) {
        if (!buffer.canResumeFrom(fromSequence)) {
            return false;
        }
        buffer.acknowledge(fromSequence);
        link = newLink;
        credits = creditChunks;
        nextSendSequence = fromSequence;
        headSent = false;
        endSent = false;
        sendAvailable();
        return true;
    }

    /** Detaches the stream from its link if that is {@code closedLink}; returns whether it was. */
    boolean detach(Link closedLink) {
        boolean wasAttached = closedLink.equals(link);
        if (wasAttached) {
            link = null;
        }
        return wasAttached;
    }

    void setHead(ResponseHead head) {
        buffer.setHead(head);
        sendAvailable();
    }

    void append(byte[] data) {
        buffer.append(data);
        sendAvailable();
    }

    void finish() {
        buffer.finish();
        sendAvailable();
    }

    /** Drops the chunks that the entry has received, and adds the granted credits. */
    void onCredit(AttemptMessage.Credit credit) {
        buffer.acknowledge(credit.nextSequence());
        credits += credit.chunks();
        sendAvailable();
    }

    boolean isFull() {
        return buffer.isFull();
    }

    boolean isAttached() {
        return link != null;
    }

    void refuse(ResultCode code, String detail) {
        send(new AttemptMessage.Refused(attempt, code.number(), 0, detail));
    }

    void fail(ResultCode code, String detail) {
        send(new AttemptMessage.Failed(attempt, code.number(), detail));
    }

    private void sendAvailable() {
        ResponseHead head = buffer.head();
        if (link == null || head == null) {
            return;
        }
        if (!headSent) {
            headSent = true;
            send(new AttemptMessage.Head(attempt, head.status(), head.contentType()));
        }
        sendChunks();
        StreamEnd end = buffer.end();
        if (end != null && !endSent && nextSendSequence == end.chunkCount()) {
            endSent = true;
            send(new AttemptMessage.End(attempt, end.chunkCount(), end.checksum()));
        }
    }

    private void sendChunks() {
        if (credits <= 0 || nextSendSequence == buffer.nextSequence()) {
            return;
        }
        for (StreamChunk chunk : buffer.chunksFrom(nextSendSequence)) {
            if (credits <= 0) {
                return;
            }
            credits--;
            nextSendSequence = chunk.sequence() + 1;
            if (link != null) {
                beforeChunk.accept(link);
            }
            send(new AttemptMessage.Chunk(attempt, chunk.sequence(), chunk.payload()));
        }
    }

    private void send(AttemptMessage message) {
        if (link != null) {
            link.send(message);
        }
    }
}
