import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;

/**
 * The settings files change while processes start: each start of gateway-1 and control-1 is followed by a SIGHUP. A
 * process that ends is started again after a short delay. Checks that processes don't end by themselves three times.
 */
public final class HangupCase {
    private static final int STARTS = 3;
    private static final long HANGUP_DELAY_MILLIS = 300;
    private static final long RESTART_DELAY_MILLIS = 500;
    private static final long WATCH_MILLIS = 6_000;

    public static void main(String[] arguments) throws Exception {
        Fleet fleet = new Fleet(arguments[0], 3);
        if (ignoresHangups()) {
            // As under nohup: the processes would inherit it, and no SIGHUP would reach them.
            fleet.log("SIGHUP is ignored by the shell that runs this script");
            System.err.println("SIGHUP is ignored by the shell that runs this script");
            fleet.close();
            System.exit(Fleet.NOT_RUN);
        }
        new Service(fleet, "i-desk-1", "desk", 6, "127.0.40.1", Fleet.freePorts(1)[0]);
        fleet.startControl(2, true);
        fleet.startControl(3, true);
        fleet.startGateway(2);
        Map<String, Integer> ends = new TreeMap<>(Map.of("gateway-1", 0, "control-1", 0));
        for (int start = 1; start <= STARTS; start++) {
            startIfEnded(fleet, "control-1", start);
            startIfEnded(fleet, "gateway-1", start);
            Thread.sleep(HANGUP_DELAY_MILLIS);
            if (fleet.trouble) {
                fleet.signal("control-1", "HUP");
                fleet.signal("gateway-1", "HUP");
            }
            Thread.sleep(WATCH_MILLIS);
            for (Map.Entry<String, Integer> end : ends.entrySet()) {
                if (fleet.hasEnded(end.getKey())) {
                    end.setValue(end.getValue() + 1);
                    fleet.log(end.getKey() + " has ended by itself, exit status " + fleet.exitStatus(end.getKey()));
                }
            }
            Thread.sleep(RESTART_DELAY_MILLIS);
        }
        boolean broken = ends.values().stream().allMatch(count -> count >= STARTS);
        fleet.finish(broken, "processes that ended by themselves, with counts: " + ends);
    }

    private static boolean ignoresHangups() throws IOException {
        Process probe = new ProcessBuilder("sh", "-c", "kill -HUP $$; exit 0").start();
        try {
            return probe.waitFor() == 0;
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    private static void startIfEnded(Fleet fleet, String name, int start) throws Exception {
        if (start > 1 && !fleet.hasEnded(name)) {
            return;
        }
        if (name.startsWith("control")) {
            fleet.startControl(1, start == 1);
        } else {
            fleet.startGateway(1);
        }
    }

    private HangupCase() {}
}
