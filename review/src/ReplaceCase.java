import java.io.IOException;
import java.io.InputStream;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.TreeMap;

/**
 * Two machines of the core are replaced as planned: the new ones run for catch_up_s, then the old ones get SIGTERM and
 * are gone. Ten seconds later a config is acknowledged, and two machines lose power and their disks, as fault_tolerance
 * allows. Checks that the acknowledged config can be read after recovery_s.
 */
public final class ReplaceCase {
    private static final long CATCH_UP_MILLIS = 4_000;
    private static final long SETTLE_MILLIS = 10_000;
    private static final long DOWN_MILLIS = 1_500;
    private static final long RECOVERY_MILLIS = 12_000;
    private static final long READ_MILLIS = 40_000;
    private static final int VERSION = 8;

    public static void main(String[] arguments) throws Exception {
        Fleet fleet = new Fleet(arguments[0], 5);
        new Service(fleet, "i-desk-1", "desk", 6, "127.0.40.1", Fleet.freePorts(1)[0]);
        fleet.startAll(1, config(7));
        Thread.sleep(5_000);

        fleet.startControl(6, false);
        fleet.startControl(7, false);
        fleet.await("control-6 and control-7 to be voters", 10_000, () -> isVoter(fleet, 6) && isVoter(fleet, 7));
        fleet.log("control-6 and control-7, the successors of control-4 and control-5, are voters");
        Thread.sleep(CATCH_UP_MILLIS + 1_000);
        fleet.signal("control-4", "TERM");
        fleet.signal("control-5", "TERM");
        fleet.await("the old members to end", 8_000, () -> fleet.hasEnded("control-4") && fleet.hasEnded("control-5"));
        fleet.log("control-4 and control-5 have ended and don't come back");
        Thread.sleep(SETTLE_MILLIS);
        int status = fleet.sendConfig(1, config(VERSION));
        fleet.log("config " + VERSION + " sent, status " + status);
        if (status != 200) {
            fleet.log("the config was not acknowledged");
            fleet.close();
            System.exit(Fleet.NOT_RUN);
        }
        if (fleet.trouble) {
            fleet.killAndWipeControl(2);
            fleet.killAndWipeControl(3);
            Thread.sleep(DOWN_MILLIS);
            fleet.startControl(2, false);
            fleet.startControl(3, false);
        }
        long backMillis = fleet.millis();
        Thread.sleep(RECOVERY_MILLIS);
        fleet.log("recovery_s is over; the operator reads the config at every machine");
        int reads = 0;
        int found = 0;
        TreeMap<String, Integer> answers = new TreeMap<>();
        while (found == 0 && fleet.millis() < backMillis + READ_MILLIS) {
            for (int member : new int[] {1, 2, 3, 6, 7}) {
                String answer = read(fleet, member);
                answers.merge("control-" + member + ": " + answer, 1, Integer::sum);
                reads++;
                found += answer.equals("200, version " + VERSION) ? 1 : 0;
            }
            Thread.sleep(500);
        }
        answers.forEach((answer, count) -> fleet.log(count + " x " + answer));
        fleet.finish(
                found == 0,
                found == 0
                        ? "the acknowledged config " + VERSION + " did not come in " + reads + " reads, until "
                                + READ_MILLIS + " ms after the machines were back"
                        : "the acknowledged config " + VERSION + " was read back");
    }

    private static boolean isVoter(Fleet fleet, int member) throws IOException {
        return fleet.logOf("control-" + member)
                .matches("(?s).*address=" + Fleet.controlIp(member).replace(".", "\\.") + ":[0-9]+, voter=true.*");
    }

    private static String read(Fleet fleet, int member) {
        try {
            HttpURLConnection connection = (HttpURLConnection) URI.create(
                            "http://" + Fleet.controlIp(member) + ":" + fleet.controlPort + "/api/config/read")
                    .toURL()
                    .openConnection();
            connection.setConnectTimeout(1_000);
            connection.setReadTimeout(4_000);
            int status = connection.getResponseCode();
            if (status != 200) {
                return String.valueOf(status);
            }
            try (InputStream in = connection.getInputStream()) {
                String body = new String(in.readAllBytes(), StandardCharsets.UTF_8);
                return "200, version " + body.replaceAll("(?s).*\"version\":([0-9]+).*", "$1");
            }
        } catch (IOException e) {
            return "no answer";
        }
    }

    private static String config(int version) {
        return "{\"version\":" + version + ",\"routes\":[{\"name\":\"r-look\",\"host\":\"desk.example"
                + "\",\"path_prefix\":\"/look/\",\"route_type\":\"safe\",\"timeout_ms\":2500,"
                + "\"target_latency_ms\":150,\"priority\":2,\"service\":\"desk\",\"max_attempts\":2,\"sticky\":false,"
                + "\"resumable\":false}],\"services\":[{\"name\":\"desk\",\"health_path\":\"/health\","
                + "\"max_conns\":100,\"protocol\":\"h1\",\"tls\":false}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000}}";
    }

    private ReplaceCase() {}
}
