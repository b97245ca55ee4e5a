import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.stream.Stream;

/** Stand-ins for the platform, replicas and clients of a small deployment on loopback, shared by the cases. */
final class Stand {
    static final long START = System.nanoTime();
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    private Stand() {}

    static long now() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    static void sleep(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static Thread thread(Runnable task) {
        Thread thread = new Thread(null, task, "stand-in", 256 << 10);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static int freePort(String ip) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
            return socket.getLocalPort();
        }
    }

    /** A case: returns 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
    interface Case {
        int play(Record record, Fleet fleet) throws Exception;
    }

    /** Runs a case, ends all processes that it started, and exits with its result. */
    static void run(String recordFile, int members, Case playable) {
        int code = 2;
        try (Record record = new Record(Path.of(recordFile));
                Fleet fleet = new Fleet(record, members)) {
            Runtime.getRuntime().addShutdownHook(new Thread(() -> fleet.nodes.forEach(Node::kill)));
            code = playable.play(record, fleet);
        } catch (Exception e) {
            e.printStackTrace();
            code = 2;
        }
        System.exit(code);
    }

    /** Record of what was sent, answered and run. */
    static final class Record implements AutoCloseable {
        private final PrintWriter out;

        Record(Path file) throws IOException {
            out = new PrintWriter(Files.newBufferedWriter(file));
        }

        synchronized void add(String line) {
            out.println(String.format(Locale.ROOT, "%7d ms  %s", now(), line));
            out.flush();
        }

        void say(String line) {
            add(line);
            System.out.println(line);
        }

        @Override
        public void close() {
            out.close();
        }
    }

    /** Head and body of an HTTP message. */
    static final class Message {
        String start = "";
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        int status() {
            String[] words = start.split(" ");
            return words.length > 1 && words[1].matches("[0-9]{3}") ? Integer.parseInt(words[1]) : 0;
        }
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                throw new EOFException("end within a line");
            }
            if (b != '\r') {
                bytes.write(b);
            }
        }
        return bytes.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads the head of a message; null at the end of the channel. */
    static Message readHead(InputStream in) throws IOException {
        Message message = new Message();
        try {
            message.start = line(in);
        } catch (EOFException e) {
            return null;
        }
        for (String line = line(in); !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            message.headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
        return message;
    }

    /** Reads the body of a message that has a length or chunks. */
    static void readBody(InputStream in, Message message) throws IOException {
        if (message.header("Transfer-Encoding").equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            readChunks(in, body::writeBytes);
            message.body = body.toByteArray();
        } else if (!message.header("Content-Length").isEmpty()) {
            message.body = readExactly(in, Integer.parseInt(message.header("Content-Length")));
        }
    }

    /** Reads the chunks of a body; what came before an error has been handed on. */
    static void readChunks(InputStream in, Consumer<byte[]> chunks) throws IOException {
        for (int size = chunkSize(in); size > 0; size = chunkSize(in)) {
            chunks.accept(readExactly(in, size));
            line(in);
        }
        line(in);
    }

    private static int chunkSize(InputStream in) throws IOException {
        return Integer.parseInt(line(in).split(";")[0].strip(), 16);
    }

    private static byte[] readExactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("end within a body");
        }
        return bytes;
    }

    /** Says from where on bytes are not those that were expected, and how they go on there. */
    static String difference(byte[] expected, byte[] got) {
        int at = Arrays.mismatch(expected, got);
        byte[] rest = Arrays.copyOfRange(got, Math.min(at, got.length), Math.min(got.length, at + 100));
        return "from byte " + at + " of " + got.length + " on: "
                + new String(rest, StandardCharsets.ISO_8859_1).replace("\r\n", "|").replace("\n", "/");
    }

    static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Handles one request that a listener has read whole; returns whether the channel is kept. */
    interface Handler {
        boolean handle(Message request, Socket channel) throws IOException;
    }

    /** HTTP listener with one thread for each channel. */
    static final class Listener implements AutoCloseable {
        final ServerSocket socket;

        Listener(String ip, int port, Handler handler) throws IOException {
            socket = new ServerSocket();
            socket.setReuseAddress(true);
            socket.bind(new InetSocketAddress(ip, port), 512);
            thread(() -> {
                while (!socket.isClosed()) {
                    try {
                        Socket channel = socket.accept();
                        thread(() -> serve(channel, handler));
                    } catch (IOException e) {
                        return;
                    }
                }
            });
        }

        String address() {
            return socket.getInetAddress().getHostAddress() + ":" + socket.getLocalPort();
        }

        private static void serve(Socket channel, Handler handler) {
            try (channel) {
                channel.setTcpNoDelay(true);
                InputStream in = new java.io.BufferedInputStream(channel.getInputStream(), 16 << 10);
                for (Message request = readHead(in); request != null; request = readHead(in)) {
                    readBody(in, request);
                    if (!handler.handle(request, channel)) {
                        return;
                    }
                }
            } catch (IOException e) {
                // The other side has closed or reset the channel.
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    static void respond(Socket channel, int status, Map<String, String> headers, byte[] body) throws IOException {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " X\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.writeBytes(ascii(head.toString()));
        all.writeBytes(body);
        channel.getOutputStream().write(all.toByteArray());
        channel.getOutputStream().flush();
    }

    /** A replica of a service; its behaviour is given as a handler of the requests that it runs. */
    static final class Replica {
        final String id;
        final String service;
        final String zone;
        final int slots;
        final String stage;
        final Listener listener;
        volatile String state = "ready";
        /** Number of runs by request id. */
        final Map<String, AtomicLong> runs = new ConcurrentHashMap<>();

        Replica(String id, String service, String zone, int slots, String stage, Handler handler) throws IOException {
            this.id = id;
            this.service = service;
            this.zone = zone;
            this.slots = slots;
            this.stage = stage;
            this.listener = new Listener("127.0.0.1", 0, (request, channel) -> {
                String expected = request.header("X-Expect-Instance");
                if (!expected.isEmpty() && !expected.equals(id)) {
                    respond(channel, 421, Map.of("X-Request-Id", request.header("X-Request-Id")), new byte[0]);
                    return true;
                }
                return handler.handle(request, channel);
            });
        }

        /** Counts a run of a request; returns how often it has run here. */
        long ran(String requestId) {
            return runs.computeIfAbsent(requestId, key -> new AtomicLong()).incrementAndGet();
        }

        String entry() {
            return "{\"service\":\"" + service + "\",\"address\":\"" + listener.address() + "\",\"zone\":\"" + zone
                    + "\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"" + state
                    + "\",\"cold_left_ms\":0" + (stage.isEmpty() ? "" : ",\"stage\":\"" + stage
                    + "\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}]") + ",\"id\":\"" + id + "\"}";
        }
    }

    /** The platform, its list of replicas and the processes of the system. */
    static final class Fleet implements AutoCloseable {
        final Path root = Path.of("").toAbsolutePath();
        final Path folder;
        final Record record;
        final List<Replica> replicas = new CopyOnWriteArrayList<>();
        final Listener cloud;
        final List<Node> nodes = new CopyOnWriteArrayList<>();
        final int peerPort;
        final int metricsPort;
        final int controlPort;
        final List<String> controlIps;
        final String seeds;

        Fleet(Record record, int members) throws IOException {
            this.record = record;
            this.folder = Files.createTempDirectory("review-2-");
            this.cloud = new Listener("127.0.0.1", 0, (request, channel) -> {
                String entries = String.join(",", replicas.stream().map(Replica::entry).toList());
                respond(
                        channel,
                        200,
                        Map.of("Content-Type", "application/json"),
                        ascii("{\"instances\":[" + entries + "],\"next\":null}"));
                return true;
            });
            this.peerPort = freePort("127.0.0.1");
            this.metricsPort = freePort("127.0.0.1");
            this.controlPort = freePort("127.0.0.1");
            this.controlIps = Stream.iterate(1, i -> i + 1).limit(members).map(i -> "127.0.1." + i).toList();
            this.seeds = String.join(",", controlIps.stream().limit(3).map(ip -> ip + ":" + controlPort).toList());
        }

        Node control(int index) throws IOException {
            String ip = controlIps.get(index);
            Node node = new Node(this, "control", "core-" + index, ip);
            nodes.add(node);
            return node;
        }

        Node gateway(int index) throws IOException {
            Node node = new Node(this, "gateway", "front-" + index, "127.0.2." + (index + 1));
            nodes.add(node);
            return node;
        }

        /** Sends a config until it is acknowledged. */
        boolean configure(String config, long limitMillis) {
            long end = now() + limitMillis;
            for (int i = 0; now() < end; i++) {
                String ip = controlIps.get(i % controlIps.size());
                try (Client client = new Client(ip, controlPort)) {
                    Message answer = client.call(
                            "POST /api/config/replace",
                            Map.of("Content-Type", "application/json"),
                            ascii(config),
                            1_000);
                    if (answer.status() == 200) {
                        record.add("config acknowledged by " + ip + ": " + answer.start);
                        return true;
                    }
                    record.add("config answered by " + ip + ": " + answer.start);
                } catch (IOException e) {
                    record.add("config: no answer from " + ip + ": " + e);
                }
                sleep(200);
            }
            return false;
        }

        /** Waits until a gateway says that it is ready. */
        boolean awaitReady(Node gateway, long limitMillis) {
            long end = now() + limitMillis;
            while (now() < end) {
                if (gateway.ready()) {
                    return true;
                }
                sleep(100);
            }
            return false;
        }

        @Override
        public void close() throws IOException {
            nodes.forEach(Node::kill);
            cloud.close();
            try (Stream<Path> files = Files.walk(folder)) {
                files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
            }
        }
    }

    /** A process of the system. */
    static final class Node {
        final Fleet fleet;
        final String role;
        final String name;
        final String ip;
        final int frontPort;
        final int readyPort;
        final Path log;
        Process process;

        Node(Fleet fleet, String role, String name, String ip) throws IOException {
            this.fleet = fleet;
            this.role = role;
            this.name = name;
            this.ip = ip;
            this.frontPort = freePort(ip);
            this.readyPort = freePort(ip);
            this.log = fleet.folder.resolve(name + ".log");
        }

        /** Starts the process with the command, the environment and the template of the deploy file. */
        void start(boolean bootstrap) throws IOException {
            List<String> deploy = Files.readAllLines(fleet.root.resolve("deploy/system.toml"));
            int section = deploy.indexOf("[roles." + role + "]");
            String run = value(deploy, section, "run");
            String template = Files.readString(fleet.root.resolve(value(deploy, section, "template")));
            Path data = fleet.folder.resolve(name + "-data");
            String settings = template
                    .replace("{{#zones}}{{@}}:{{.}}{{,}}{{/zones}}", "zone-1:region-1")
                    .replace("{{node_name}}", name)
                    .replace("{{ip}}", ip)
                    .replace("{{zone}}", "zone-1")
                    .replace("{{listen.front}}", ip + ":" + frontPort)
                    .replace("{{listen.ready}}", ip + ":" + readyPort)
                    .replace("{{listen.control}}", ip + ":" + fleet.controlPort)
                    .replace("{{internal_ports.0}}", Integer.toString(fleet.peerPort))
                    .replace("{{internal_ports.1}}", Integer.toString(fleet.metricsPort))
                    .replace("{{seeds}}", fleet.seeds)
                    .replace("{{bootstrap}}", Boolean.toString(bootstrap))
                    .replace("{{data_dir}}", data.toString())
                    .replace("{{cloud_api.address}}", fleet.cloud.address())
                    .replace("{{bounds.retry_budget_ratio}}", "0.2")
                    .replace("{{bounds.budget_slack}}", "54")
                    .replace("{{bounds.budget_window_s}}", "10")
                    .replace("{{bounds.lease_ms}}", "3000");
            Path file = fleet.folder.resolve(name + ".ini");
            Files.writeString(file, settings);
            ProcessBuilder builder = new ProcessBuilder(run.split(" "));
            builder.directory(fleet.root.toFile());
            Map<String, String> environment = builder.environment();
            environment.keySet().removeIf(key -> !List.of("PATH", "HOME", "JAVA_HOME", "LANG").contains(key));
            environment.put("WAGTAILCART_NODE_FILE", file.toString());
            environment.put("WAGTAILCART_SHUTDOWN_LIMIT_SECONDS", "8");
            environment.put("WAGTAILCART_TOLERATED_LOSSES", "2");
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            process = builder.start();
            fleet.record.add(name + " started as process " + process.pid());
        }

        private static String value(List<String> lines, int section, String key) {
            for (int i = section + 1; i < lines.size() && !lines.get(i).startsWith("["); i++) {
                if (lines.get(i).startsWith(key + " = \"")) {
                    String line = lines.get(i);
                    return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                }
            }
            throw new IllegalStateException("the deploy file has no " + key);
        }

        boolean ready() {
            try (Client client = new Client(ip, readyPort)) {
                return client.call("GET /api/ready", Map.of(), new byte[0], 1_000).status() == 200;
            } catch (IOException e) {
                return false;
            }
        }

        void signal(String name) {
            try {
                new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                        .inheritIO()
                        .start()
                        .waitFor();
            } catch (IOException | InterruptedException e) {
                throw new IllegalStateException(e);
            }
            fleet.record.add(this.name + " got SIG" + name);
        }

        void kill() {
            if (process != null && process.isAlive()) {
                process.destroyForcibly();
                try {
                    process.waitFor();
                } catch (InterruptedException e) {
                    throw new IllegalStateException(e);
                }
            }
        }

        String logText() throws IOException {
            return Files.exists(log) ? Files.readString(log, StandardCharsets.ISO_8859_1) : "";
        }
    }

    /** Client on one channel. */
    static final class Client implements AutoCloseable {
        final Socket socket = new Socket();
        final InputStream in;
        final OutputStream out;

        Client(String ip, int port) throws IOException {
            socket.connect(new InetSocketAddress(ip, port), 1_000);
            socket.setTcpNoDelay(true);
            in = new java.io.BufferedInputStream(socket.getInputStream());
            out = socket.getOutputStream();
        }

        static byte[] head(String call, Map<String, String> headers, int length) {
            StringBuilder head = new StringBuilder(call + " HTTP/1.1\r\n");
            if (!headers.containsKey("Host")) {
                head.append("Host: x.example\r\n");
            }
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            return ascii(head.append("Content-Length: ").append(length).append("\r\n\r\n").toString());
        }

        Message call(String call, Map<String, String> headers, byte[] body, int timeoutMillis) throws IOException {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.writeBytes(head(call, headers, body.length));
            all.writeBytes(body);
            out.write(all.toByteArray());
            out.flush();
            return answer(timeoutMillis);
        }

        Message answer(int timeoutMillis) throws IOException {
            socket.setSoTimeout(timeoutMillis);
            Message answer = readHead(in);
            if (answer == null) {
                throw new EOFException("channel closed without an answer");
            }
            readBody(in, answer);
            return answer;
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }
}
