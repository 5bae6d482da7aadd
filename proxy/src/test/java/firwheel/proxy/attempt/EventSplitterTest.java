package firwheel.proxy.attempt;

import static org.assertj.core.api.Assertions.assertThat;

import firwheel.proxy.attempt.EventSplitter.Event;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

final class EventSplitterTest {
    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Test
    void returnsCompleteEventsForAnyChunking() {
        String stream = "id: 1\ndata: a\n\nx: 1\r\nid:2\r\ndata: b\r\n\r\ndata: no id\n\n";
        for (int seed = 0; seed < 500; seed++) {
            Random random = new Random(seed);
            EventSplitter splitter = new EventSplitter();
            List<Event> events = new ArrayList<>();
            byte[] all = bytes(stream);
            int from = 0;
            while (from < all.length) {
                int until = Math.min(all.length, from + 1 + random.nextInt(9));
                events.addAll(splitter.accept(java.util.Arrays.copyOfRange(all, from, until)));
                from = until;
            }
            StringBuilder joined = new StringBuilder();
            events.forEach(event -> joined.append(new String(event.bytes(), StandardCharsets.UTF_8)));

            assertThat(joined.toString()).isEqualTo(stream);
            assertThat(events).extracting(Event::id).containsExactly("1", "2", null);
            assertThat(splitter.remainder()).isEmpty();
        }
    }

    @Test
    void buffersIncompleteEvent() {
        EventSplitter splitter = new EventSplitter();

        assertThat(splitter.accept(bytes("id: 1\ndata: a\n"))).isEmpty();
        assertThat(splitter.remainder()).isNotEmpty();
    }
}
