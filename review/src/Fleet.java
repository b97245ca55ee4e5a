import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A small deployment on loopback: the project's own programs as separate processes, started with the commands and
 * templates of the deploy file. Each machine has a loopback address of its own; ports are the same on all machines.
 */
final class Fleet implements AutoCloseable {
    static final int OK = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;
    static final String ZONE = "zone-a";

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final int controlMembers;
    final int frontPort;
    final int readyPort;
    final int controlPort;
    final int peerPort;
    final int metricsPort;
    final HostList hosts;

    private final Path root = Path.of("").toAbsolutePath();
    private final Path folder;
    private final PrintWriter record;
    private final long startNanos = System.nanoTime();
    private final Map<String, Process> processes = new LinkedHashMap<>();
    private final List<AutoCloseable> standins = new ArrayList<>();

    /** Creates a deployment without processes. The first argument of a script is the folder of its case. */
    Fleet(String caseFolder, int controlMembers) throws IOException {
        this.controlMembers = controlMembers;
        record = new PrintWriter(Files.newBufferedWriter(Path.of(caseFolder, "record.txt")), true);
        folder = Files.createTempDirectory("wagtailcart-review-");
        int[] ports = freePorts(6);
        frontPort = ports[0];
        readyPort = ports[1];
        controlPort = ports[2];
        peerPort = ports[3];
        metricsPort = ports[4];
        hosts = new HostList(this, "127.0.0.1", ports[5]);
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        log("trouble " + (trouble ? "on" : "off"));
    }

    long millis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    /** Writes a line with the time since the start to the record. */
    synchronized void log(String line) {
        record.printf("%8d ms  %s%n", millis(), line);
    }

    <T extends AutoCloseable> T add(T standin) {
        standins.add(standin);
        return standin;
    }

    static String gatewayIp(int number) {
        return "127.0.10." + number;
    }

    static String controlIp(int number) {
        return "127.0.20." + number;
    }

    Process startControl(int number, boolean bootstrap) throws IOException {
        String ip = controlIp(number);
        Path data = folder.resolve("data-control-" + number);
        Files.createDirectories(data);
        Map<String, String> values = values("control-" + number, ip, bootstrap);
        values.put("data_dir", data.toString());
        return start("control", "control-" + number, values);
    }

    /** Kills a control member, as a loss of power does, and empties its disk. */
    void killAndWipeControl(int number) throws Exception {
        Process process = processes.get("control-" + number);
        process.destroyForcibly().waitFor();
        delete(folder.resolve("data-control-" + number));
        log("control-" + number + " is killed and its disk is emptied");
    }

    Process startGateway(int number) throws IOException {
        return start("gateway", "gateway-" + number, values("gateway-" + number, gatewayIp(number), false));
    }

    private Map<String, String> values(String name, String ip, boolean bootstrap) {
        Map<String, String> values = new LinkedHashMap<>();
        values.put("#zones}}{{@}}:{{.}}{{,}}{{/zones", ZONE + ":region-a");
        values.put("node_name", name);
        values.put("ip", ip);
        values.put("zone", ZONE);
        values.put("internal_ports.0", String.valueOf(peerPort));
        values.put("internal_ports.1", String.valueOf(metricsPort));
        values.put("listen.front", ip + ":" + frontPort);
        values.put("listen.ready", ip + ":" + readyPort);
        values.put("listen.control", ip + ":" + controlPort);
        values.put("seeds", seeds());
        values.put("bootstrap", String.valueOf(bootstrap));
        values.put("cloud_api.address", hosts.address());
        values.put("cloud_api.duties", "");
        values.put("bounds.report_window_s", "");
        values.put("bounds.usage_late_s", "");
        values.put("bounds.lease_ms", "3000");
        values.put("bounds.retry_budget_ratio", "0.2");
        values.put("bounds.budget_slack", "54");
        values.put("bounds.budget_window_s", "10");
        return values;
    }

    private String seeds() {
        List<String> seeds = new ArrayList<>();
        for (int i = 1; i <= Math.min(3, controlMembers); i++) {
            seeds.add(controlIp(i) + ":" + controlPort);
        }
        return String.join(",", seeds);
    }

    private Process start(String role, String name, Map<String, String> values) throws IOException {
        String deploy = Files.readString(root.resolve("deploy/system.toml"));
        String section = deploy.substring(deploy.indexOf("[roles." + role + "]"));
        String run = find(section, "run = \"([^\"]*)\"");
        String text = Files.readString(root.resolve(find(section, "template = \"([^\"]*)\"")));
        for (Map.Entry<String, String> value : values.entrySet()) {
            text = text.replace("{{" + value.getKey() + "}}", value.getValue());
        }
        if (text.contains("{{")) {
            throw new IOException("a placeholder of the template is not filled in: " + text);
        }
        Path settings = folder.resolve(name + ".ini");
        Files.writeString(settings, text);
        ProcessBuilder builder = new ProcessBuilder(List.of(run.split(" ")));
        builder.directory(root.toFile());
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("WAGTAILCART_NODE_FILE", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
        Process process = builder.start();
        synchronized (processes) {
            processes.put(name, process);
        }
        log(name + " started");
        return process;
    }

    boolean hasEnded(String name) {
        return !processes.get(name).isAlive();
    }

    int exitStatus(String name) {
        return processes.get(name).exitValue();
    }

    String logOf(String name) throws IOException {
        Path log = folder.resolve(name + ".log");
        return Files.exists(log) ? Files.readString(log) : "";
    }

    private static String find(String text, String pattern) throws IOException {
        Matcher matcher = Pattern.compile(pattern).matcher(text);
        if (!matcher.find()) {
            throw new IOException("the deploy file has no " + pattern);
        }
        return matcher.group(1);
    }

    /** Starts control members and gateways, sends a config and waits until all gateways are ready. */
    void startAll(int gateways, String config) throws Exception {
        for (int i = 1; i <= controlMembers; i++) {
            startControl(i, true);
        }
        for (int i = 1; i <= gateways; i++) {
            startGateway(i);
        }
        await("the config to be acknowledged", 40_000, () -> sendConfig(1, config) == 200);
        log("config acknowledged");
        for (int i = 1; i <= gateways; i++) {
            awaitReady(i);
        }
    }

    void awaitReady(int gateway) throws Exception {
        await("gateway-" + gateway + " to be ready", 20_000, () -> isReady(gateway));
        log("gateway-" + gateway + " is ready");
    }

    boolean isReady(int gateway) {
        return status("GET", "http://" + gatewayIp(gateway) + ":" + readyPort + "/api/ready", null) == 200;
    }

    int sendConfig(int member, String config) {
        return status("POST", "http://" + controlIp(member) + ":" + controlPort + "/api/config/replace", config);
    }

    /** Returns the status of a call of the operator or of the load balancer, 0 for no response. */
    static int status(String method, String url, String body) {
        try {
            HttpURLConnection connection =
                    (HttpURLConnection) URI.create(url).toURL().openConnection();
            connection.setConnectTimeout(1_000);
            connection.setReadTimeout(4_000);
            connection.setRequestMethod(method);
            if (body != null) {
                connection.setDoOutput(true);
                connection.setRequestProperty("Content-Type", "application/json");
                try (OutputStream out = connection.getOutputStream()) {
                    out.write(body.getBytes(StandardCharsets.UTF_8));
                }
            }
            int status = connection.getResponseCode();
            try (InputStream in = status < 400 ? connection.getInputStream() : connection.getErrorStream()) {
                if (in != null) {
                    in.readAllBytes();
                }
            }
            return status;
        } catch (IOException e) {
            return 0;
        }
    }

    interface Condition {
        boolean holds() throws Exception;
    }

    /** Waits until a condition holds; ends the script with the code for a case that couldn't run if it doesn't. */
    void await(String what, long limitMillis, Condition condition) throws Exception {
        long deadline = millis() + limitMillis;
        while (!condition.holds()) {
            if (millis() > deadline) {
                log("waited in vain for " + what);
                System.err.println("waited in vain for " + what);
                close();
                System.exit(NOT_RUN);
            }
            Thread.sleep(50);
        }
    }

    /** Sends a signal to a process that this script started. */
    void signal(String name, String signal) throws Exception {
        Process process = processes.get(name);
        log("SIG" + signal + " to " + name);
        new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid())).inheritIO().start().waitFor();
    }

    /** Writes the result to the record, ends everything and exits. */
    void finish(boolean broken, String result) {
        String line = (broken ? "BROKEN: " : "held: ") + result;
        log(line);
        System.out.println(line);
        close();
        Runtime.getRuntime().halt(broken ? BROKEN : OK);
    }

    @Override
    public void close() {
        List<Process> running;
        synchronized (processes) {
            running = List.copyOf(processes.values());
        }
        running.forEach(Process::destroyForcibly);
        for (Process process : running) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        for (AutoCloseable standin : List.copyOf(standins)) {
            try {
                standin.close();
            } catch (Exception e) {
                log("a stand-in was not closed: " + e);
            }
        }
        if (System.getenv("KEEP") == null) {
            deleteFolder();
        }
    }

    private void deleteFolder() {
        delete(folder);
    }

    private void delete(Path top) {
        if (!Files.exists(top)) {
            return;
        }
        try (Stream<Path> files = Files.walk(top)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            log("a folder was not deleted: " + e);
        }
    }

    static int[] freePorts(int count) throws IOException {
        ServerSocket[] sockets = new ServerSocket[count];
        int[] ports = new int[count];
        for (int i = 0; i < count; i++) {
            sockets[i] = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
            ports[i] = sockets[i].getLocalPort();
        }
        for (ServerSocket socket : sockets) {
            socket.close();
        }
        return ports;
    }
}
