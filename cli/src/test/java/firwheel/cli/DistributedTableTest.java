package firwheel.cli;

import static org.assertj.core.api.Assertions.assertThat;

import firwheel.agent.AgentServer;
import firwheel.agent.AgentSettings;
import firwheel.entry.EntryServer;
import firwheel.entry.EntrySettings;
import firwheel.routing.RandomSource;
import firwheel.routing.RoutingPolicies;
import firwheel.standin.InMemoryTableService;
import firwheel.standin.StandInPlatform;
import firwheel.store.HostList.HostEntry;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests that two entries and an agent get the table from a platform and from each other over sockets. */
final class DistributedTableTest {
    private static final int LINK_PORT = 7_421;
    private static final int AGENT_PORT = 7_422;

    private final Vertx vertx = Vertx.vertx();

    @TempDir
    private Path directory = Path.of("");

    @AfterEach
    void stop() {
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    @Test
    void applyWaitsUntilEntriesAndAgentHaveTheRevision() throws IOException {
        StandInPlatform platform = new StandInPlatform(vertx, new InMemoryTableService());
        platform.setHosts(List.of(
                new HostEntry("127.0.42.1", "z", "entry", false), new HostEntry("127.0.42.2", "z", "entry", false)));
        String url =
                "http://127.0.0.1:" + platform.listen("127.0.0.1", 0).join().actualPort();
        List<String> adminAddresses = new ArrayList<>();
        for (String ip : List.of("127.0.42.1", "127.0.42.2")) {
            EntrySettings settings =
                    new EntrySettings(ip, 0, LINK_PORT, 0, "z", url, List.of(), "k", null, 1_000, 1_000, 1_000, 1_000);
            EntryServer entry = EntryServer.start(
                            vertx,
                            settings,
                            TableSources.forEntry(vertx, settings),
                            RoutingPolicies.TOKEN_AWARE.create(RandomSource.threadLocal()))
                    .join();
            adminAddresses.add(ip + ":" + entry.adminPort());
        }
        AgentSettings settings = new AgentSettings(
                "127.0.42.9", AGENT_PORT, 0, "z", "a", 0, "127.0.0.1", 1, url, List.of(), "k", null, 1_000);
        AgentServer agent = AgentServer.start(vertx, settings).join();
        adminAddresses.add("127.0.42.9:" + agent.adminPort());

        Path file = directory.resolve("t.csv");
        Files.writeString(
                file,
                """
                # revision 0
                name,kind,models,availability_zone,state,weight,max_in_flight,max_queue,max_tokens_in_flight,\
                idempotent,hosts,checks_orders,fences_orders,skew_price,move_price
                a,model,m1,z,serving,1,8,8,1000,true,0:127.0.42.9:7422,false,false,1,1
                """);
        String hosts = String.join(",", adminAddresses);
        assertThat(Main.run(new String[] {
                    "table",
                    "apply",
                    file.toString(),
                    "--platform",
                    url,
                    "--author",
                    "ann",
                    "--reason",
                    "r",
                    "--wait",
                    "--wait-seconds",
                    "30",
                    "--hosts",
                    hosts
                }))
                .isEqualTo(ExitCode.SUCCESS);
        assertThat(Main.run(new String[] {"status", "--platform", url, "--hosts", hosts}))
                .isEqualTo(ExitCode.SUCCESS);
    }
}
