import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Starts the project's programs with the commands of the deploy file, on loopback addresses. */
final class Deployment {
    private final Path folder;
    private final Path record;
    private final List<Process> processes = new ArrayList<>();
    private final long startNanos = System.nanoTime();
    final int peerPort;
    final int metricsPort;

    /** Creates a deployment whose record is written to {@code record}. */
    Deployment(Path record) throws IOException {
        this.record = record;
        Files.deleteIfExists(record);
        folder = Files.createTempDirectory("firwheel-review");
        peerPort = freePort();
        metricsPort = freePort();
        Runtime.getRuntime().addShutdownHook(new Thread(this::endAll));
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    long millis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    /** Adds a line to the record. */
    synchronized void log(String line) {
        try {
            Files.writeString(
                    record,
                    String.format("%8.3f %s%n", millis() / 1_000.0, line),
                    java.nio.file.StandardOpenOption.CREATE,
                    java.nio.file.StandardOpenOption.APPEND);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Starts a role ("entry" or "agent") of the deploy file. */
    Process start(String role, String host, String zone, String ip, int storePort, Map<String, Object> more)
            throws IOException {
        Map<String, Object> settings = Json.of(
                "host", host,
                "availabilityZone", zone,
                "ip", ip,
                "callers", "",
                "readiness", "",
                "peerPort", peerPort,
                "lastPeerPort", peerPort,
                "metricsPort", metricsPort,
                "store", "127.0.0.1:" + storePort,
                "localTarget", "",
                "localService", "",
                "repeatRatio", 0.2,
                "repeatAllowance", 191,
                "repeatWindowSeconds", 10,
                "shutdownGraceSeconds", 8,
                "storeSilenceMillis", 3000,
                "configApplyMillis", 2000,
                "drainNoticeMillis", 2000);
        settings.putAll(more);
        Path file = folder.resolve(host + ".json");
        Files.writeString(file, Json.write(settings));
        ProcessBuilder builder = new ProcessBuilder(runLine(role));
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("FIRWHEEL_SETTINGS", file.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(host + ".log").toFile()));
        Process process = builder.start();
        processes.add(process);
        log("started " + host + " at " + ip);
        return process;
    }

    private static List<String> runLine(String role) throws IOException {
        boolean inRole = false;
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("[")) {
                inRole = line.equals("[roles." + role + "]");
            } else if (inRole && line.startsWith("run = ")) {
                return List.of(line.substring("run = ".length()).replace("\"", "").split(" "));
            }
        }
        throw new IOException("no role " + role);
    }

    static void signal(Process process, String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    /** Copies the log of a process into the record. */
    void logOutput(String host) throws IOException {
        File file = folder.resolve(host + ".log").toFile();
        if (file.exists()) {
            Files.readAllLines(file.toPath()).forEach(line -> log(host + ": " + line));
        }
    }

    private void endAll() {
        processes.forEach(Process::destroyForcibly);
        try (var files = Files.walk(folder)) {
            files.sorted(java.util.Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
        } catch (IOException e) {
            // the folder is below the temporary folder
        }
    }
}
