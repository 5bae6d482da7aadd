package firwheel.wire;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import firwheel.model.AttemptId;
import firwheel.model.FirwheelException;
import firwheel.model.ResultCode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Encodes and decodes messages as MessagePack: a positive fixint with the message type, followed by an array of the
 * fields in the declaration order of the record. Trailing fields added by a newer version are ignored; fields missing
 * from an older version are read as zero, false or null.
 */
public final class MessageCodec {
    private static final int MAX_TYPE_NUMBER = 127;

    private final ObjectMapper mapper;

    /** Creates a codec for all message types. */
    public MessageCodec() {
        mapper = new ObjectMapper(new MessagePackFactory());
        mapper.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
        JsonFormat.Value arrayFormat = JsonFormat.Value.forShape(JsonFormat.Shape.ARRAY);
        for (MessageType type : MessageType.values()) {
            mapper.configOverride(type.messageClass()).setFormat(arrayFormat);
        }
        mapper.configOverride(AttemptId.class).setFormat(arrayFormat);
        mapper.configOverride(MeshMessage.Member.class).setFormat(arrayFormat);
        mapper.configOverride(MeshMessage.TargetLoad.class).setFormat(arrayFormat);
        mapper.configOverride(MeshMessage.CrashReport.class).setFormat(arrayFormat);
        mapper.configOverride(MeshMessage.RowChange.class).setFormat(arrayFormat);
        mapper.configOverride(MeshMessage.TargetAddress.class).setFormat(arrayFormat);
    }

    /** Encodes a message, without a length prefix. */
    public byte[] encode(Message message) {
        try {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            out.write(MessageType.of(message).number());
            out.writeBytes(mapper.writeValueAsBytes(message));
            return out.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Decodes one message; fails with {@code FW-7003} if the frame is malformed. */
    public Message decode(byte[] frame) {
        if (frame.length < 2 || frame[0] < 0) {
            throw new FirwheelException(
                    ResultCode.BAD_FRAME,
                    "frame is shorter than 2 bytes or its type is not from 0 to " + MAX_TYPE_NUMBER);
        }
        MessageType type = MessageType.ofNumber(frame[0]);
        if (type == null) {
            return new UnknownMessage(frame[0]);
        }
        try {
            Message message = mapper.readValue(frame, 1, frame.length - 1, type.messageClass());
            if (message == null) {
                throw new FirwheelException(ResultCode.BAD_FRAME, "no fields in " + type);
            }
            return message;
        } catch (IOException | IllegalArgumentException e) {
            throw new FirwheelException(ResultCode.BAD_FRAME, "cannot decode " + type, java.time.Duration.ZERO, e);
        }
    }
}
