import java.io.IOException;
import java.util.Map;

/** A small deployment: three control members, one gateway and three replicas of a plain service. */
final class Deployment {
    static final String CONFIG = "{\"version\":5,\"routes\":["
            + "{\"name\":\"r-unsafe\",\"host\":\"x.example\",\"path_prefix\":\"/unsafe/\",\"route_type\":\"unsafe\","
            + "\"timeout_ms\":10000,\"target_latency_ms\":500,\"priority\":1,\"service\":\"desk\",\"max_attempts\":1,"
            + "\"sticky\":false,\"resumable\":false},"
            + "{\"name\":\"r-safe\",\"host\":\"x.example\",\"path_prefix\":\"/safe/\",\"route_type\":\"safe\","
            + "\"timeout_ms\":1200,\"target_latency_ms\":150,\"priority\":1,\"service\":\"desk\",\"max_attempts\":2,"
            + "\"sticky\":false,\"resumable\":false}],"
            + "\"services\":[{\"name\":\"desk\",\"health_path\":\"/health\",\"max_conns\":400,\"protocol\":\"h1\","
            + "\"tls\":false}],"
            + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
            + "\"idle_timeout_ms\":15000}}";

    private Deployment() {}

    /** Adds three sound replicas; an answer has 800 bytes. */
    static void addReplicas(Stand.Fleet fleet) throws IOException {
        for (int i = 0; i < 3; i++) {
            Stand.Replica[] self = new Stand.Replica[1];
            self[0] = new Stand.Replica("i-desk" + i, "desk", "zone-1", 64, "", (request, channel) -> {
                String id = request.header("X-Request-Id");
                long runs = self[0].ran(id);
                if (request.start.contains("/unsafe/")) {
                    fleet.record.add(self[0].id + " runs " + id + ", run " + runs + ", body of " + request.body.length);
                }
                Stand.sleep(20);
                Stand.respond(
                        channel,
                        200,
                        Map.of("X-Request-Id", id, "X-Server-Stamp", "stamp-" + id, "Keep-Alive", "timeout=15"),
                        new byte[800]);
                return true;
            });
            fleet.replicas.add(self[0]);
        }
    }

    static Stand.Node start(Stand.Fleet fleet) throws IOException {
        return start(fleet, CONFIG);
    }

    /** Starts the processes and configures them; returns the gateway, null if they do not come up. */
    static Stand.Node start(Stand.Fleet fleet, String config) throws IOException {
        for (int i = 0; i < 3; i++) {
            fleet.control(i).start(true);
        }
        Stand.Node gateway = fleet.gateway(0);
        gateway.start(true);
        boolean up = fleet.configure(config, 20_000) && fleet.awaitReady(gateway, 20_000);
        fleet.record.say(up ? "the deployment is ready" : "the deployment did not come up");
        return up ? gateway : null;
    }
}
