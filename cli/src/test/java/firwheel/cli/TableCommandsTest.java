package firwheel.cli;

import static org.assertj.core.api.Assertions.assertThat;

import firwheel.standin.InMemoryTableService;
import firwheel.standin.StandInPlatform;
import firwheel.table.TableCsv;
import firwheel.table.TableReader;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class TableCommandsTest {
    private static final String HEADER = "name,kind,models,availability_zone,state,weight,max_in_flight,max_queue,"
            + "max_tokens_in_flight,idempotent,hosts,checks_orders,fences_orders,skew_price,move_price\n";
    private static final String ROW_A = "a,model,m1,zone-a,serving,1,8,8,1000,true,0:10.0.0.1:7000,false,false,1,1\n";
    private static final String ROW_B = "b,model,m1,zone-a,serving,1,8,8,1000,true,0:10.0.0.2:7000,false,false,1,1\n";

    private final Vertx vertx = Vertx.vertx();
    private final InMemoryTableService store = new InMemoryTableService();
    private final String url = "http://127.0.0.1:"
            + new StandInPlatform(vertx, store).listen("127.0.0.1", 0).join().actualPort();

    @TempDir
    private Path directory = Path.of("");

    @AfterEach
    void stop() {
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    private String file(String name, String text) throws IOException {
        Path file = directory.resolve(name);
        Files.writeString(file, text);
        return file.toString();
    }

    private ExitCode apply(String file, String author) {
        return Main.run(
                new String[] {"table", "apply", file, "--platform", url, "--author", author, "--reason", "test"});
    }

    @Test
    void applyMergesChangesRejectsConflictsAndIsIdempotent() throws IOException {
        String first = file("first.csv", "# revision 0\n" + HEADER + ROW_A + ROW_B);
        assertThat(Main.run(new String[] {"table", "check", first})).isEqualTo(ExitCode.SUCCESS);
        assertThat(apply(first, "ann")).isEqualTo(ExitCode.SUCCESS);
        assertThat(apply(first, "ann")).as("repeated").isEqualTo(ExitCode.SUCCESS);

        String exported = TableCsv.write(new TableReader(store).read().join());
        assertThat(exported).startsWith("# revision 1\n");
        String annsEdit =
                file("ann.csv", exported.replace("a,model,m1,zone-a,serving,1,", "a,model,m1,zone-a,serving,2,"));
        String bobsEdit =
                file("bob.csv", exported.replace("b,model,m1,zone-a,serving,1,", "b,model,m1,zone-a,serving,3,"));
        String evesEdit =
                file("eve.csv", exported.replace("a,model,m1,zone-a,serving,1,", "a,model,m1,zone-a,serving,9,"));
        assertThat(apply(annsEdit, "ann")).isEqualTo(ExitCode.SUCCESS);
        assertThat(apply(bobsEdit, "bob")).isEqualTo(ExitCode.SUCCESS);
        assertThat(Main.run(new String[] {"table", "diff", evesEdit, "--platform", url}))
                .isEqualTo(ExitCode.CONFLICT);
        assertThat(apply(evesEdit, "eve")).isEqualTo(ExitCode.CONFLICT);
        assertThat(new TableReader(store).readRevision().join()).isEqualTo(3);
        assertThat(Main.run(new String[] {"audit", "--platform", url})).isEqualTo(ExitCode.SUCCESS);
        assertThat(Main.run(new String[] {"table", "export", "--platform", url}))
                .isEqualTo(ExitCode.SUCCESS);
    }

    @Test
    void badInputAndUnreachablePlatformHaveTheirOwnExitCodes() throws IOException {
        String bad = file("bad.csv", "# revision 0\n" + HEADER + ROW_A + ROW_A);
        assertThat(apply(bad, "ann")).isEqualTo(ExitCode.BAD_INPUT);
        assertThat(apply("/does/not/exist", "ann")).isEqualTo(ExitCode.BAD_INPUT);
        assertThat(Main.run(new String[] {"table", "export", "--platform", "http://127.0.0.1:1"}))
                .isEqualTo(ExitCode.PLATFORM_UNREACHABLE);
        assertThat(Main.run(new String[] {"status", "--platform", url, "--hosts", "127.0.0.1:1"}))
                .as("a host does not respond")
                .isEqualTo(ExitCode.FAILED);
    }
}
