package firwheel.bench.capacity;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class CapacityPageTest {
    private static final Path DOCS = Path.of("..", "docs");

    private final RecordedSlopes slopes;
    private final String page;

    CapacityPageTest() throws IOException {
        slopes = RecordedSlopes.read(DOCS.resolve("capacity").resolve("slopes.json"));
        page = Files.readString(DOCS.resolve("CAPACITY.md"));
    }

    private String section(String name) {
        String begin = "<!-- " + name + ":begin -->\n";
        String end = "<!-- " + name + ":end -->";
        return page.substring(page.indexOf(begin) + begin.length(), page.indexOf(end));
    }

    @Nested
    final class Page {
        @Test
        void showsTheRecordedSlopes() {
            assertThat(section("slopes")).isEqualTo(CapacityPage.slopes(slopes));
        }

        @Test
        void showsTheCapacitiesComputedFromTheSlopes() {
            assertThat(section("capacities")).isEqualTo(CapacityPage.capacities(slopes));
        }
    }

    @Test
    void verdictTellsWhetherARowExceedsItsLimit() {
        for (CapacityRow row : CapacityModel.rows()) {
            double value = row.formula().applyAsDouble(DeploymentSize.design(), slopes);
            boolean within = row.limit().isEmpty() || value <= row.limit().getAsDouble();
            assertThat(row.verdict(DeploymentSize.design(), slopes).startsWith("holds with")
                            || row.verdict(DeploymentSize.design(), slopes).equals("does not hold"))
                    .as(row.quantity())
                    .isEqualTo(!within);
        }
    }
}
