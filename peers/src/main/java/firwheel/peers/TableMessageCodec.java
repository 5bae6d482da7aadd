package firwheel.peers;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import firwheel.model.FirwheelException;
import firwheel.model.RankAddress;
import firwheel.model.ResultCode;
import firwheel.model.TargetRow;
import firwheel.table.RevisionPatch;
import firwheel.table.RowPatch;
import firwheel.table.TableMessage;
import firwheel.wire.TableFrame;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.List;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Encodes table messages as frames and decodes them. A frame has one byte with the index of the type in the list of
 * types, followed by the fields in record order. For compatibility, types and fields may only be appended.
 */
public final class TableMessageCodec {
    private static final List<Class<? extends TableMessage>> TYPES = List.of(
            TableMessage.Announce.class,
            TableMessage.Pull.class,
            TableMessage.Patches.class,
            TableMessage.PullPage.class,
            TableMessage.SnapshotPage.class);

    private final ObjectMapper mapper = new ObjectMapper(new MessagePackFactory());

    /** Creates a codec for all table messages. */
    public TableMessageCodec() {
        mapper.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
        mapper.enable(SerializationFeature.WRITE_ENUMS_USING_INDEX);
        JsonFormat.Value asArray = JsonFormat.Value.forShape(JsonFormat.Shape.ARRAY);
        TYPES.forEach(type -> mapper.configOverride(type).setFormat(asArray));
        List.of(RevisionPatch.class, RowPatch.class, RowPatch.FieldText.class, TargetRow.class, RankAddress.class)
                .forEach(type -> mapper.configOverride(type).setFormat(asArray));
    }

    /** Encodes a message. */
    public TableFrame encode(TableMessage message) {
        try {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            out.write(TYPES.indexOf(message.getClass()));
            out.writeBytes(mapper.writeValueAsBytes(message));
            return new TableFrame(out.toByteArray());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Decodes a frame; fails with {@code FW-7003} when the frame is malformed. */
    public TableMessage decode(TableFrame frame) {
        byte[] content = frame.content();
        if (content == null || content.length < 2 || content[0] < 0 || content[0] >= TYPES.size()) {
            throw new FirwheelException(
                    ResultCode.BAD_FRAME, "table message is shorter than 2 bytes or of unknown type");
        }
        try {
            TableMessage message = mapper.readValue(content, 1, content.length - 1, TYPES.get(content[0]));
            if (message == null) {
                throw new FirwheelException(ResultCode.BAD_FRAME, "empty table message");
            }
            return message;
        } catch (IOException | IllegalArgumentException e) {
            throw new FirwheelException(ResultCode.BAD_FRAME, "malformed table message", Duration.ZERO, e);
        }
    }
}
