import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Clients send bookings whose paths and queries hold characters beside letters and digits. */
final class ChangedTargets {

    /** Targets as RFC 3986 allows them, without dot segments. */
    private static final List<String> UNUSUAL =
            List.of(
                    "/book/lot;copy=2",
                    "/book/lot%3Bcopy=2",
                    "/book/lot//7",
                    "/book/lot%2f7",
                    "/book/%41hm",
                    "/book/lot?note=two%20lots",
                    "/book/lot?note=7%2f8",
                    "/book/lot?");

    private static final List<String> USUAL =
            List.of("/book/lot", "/book/lot/7", "/book/ahm/3f9c", "/book/lot?note=two");

    public static void main(String[] args) {
        int exit = 2;
        try (Deployment world = new Deployment(Path.of(args[0]), 0)) {
            exit = run(world);
        } catch (Exception failed) {
            failed.printStackTrace();
        }
        System.exit(exit);
    }

    private static int run(Deployment world) throws Exception {
        Record record = world.record;
        Map<String, String> ran = new ConcurrentHashMap<>();
        for (int i = 1; i <= 2; i++) {
            world.runner("i-desk" + i, "desk", 20).behaviour =
                    (runner, request, start) -> {
                        ran.put(request.header("Cyclamenpaddle-Attempt-Id"), request.target());
                        return false;
                    };
        }
        world.configure(
                7,
                Deployment.route("book", "/book/", "unsafe", 1_500, 600, 1, "desk"),
                Deployment.service("desk"));
        world.startRelays(2);
        Map<String, String> sent = new LinkedHashMap<>();
        for (String target : Deployment.TROUBLE ? UNUSUAL : USUAL) {
            for (Relay relay : world.relays) {
                String id = "book-" + sent.size();
                sent.put(id, target);
                world.call(relay, "POST", target, id, 1_500);
            }
        }
        int changed = 0;
        for (Map.Entry<String, String> one : sent.entrySet()) {
            String target = ran.get(one.getKey());
            if (target != null && !target.equals(one.getValue())) {
                changed++;
                record.tell("sent " + one.getValue() + ", run as " + target);
            }
        }
        record.tell("bookings that were run with another path or query: " + changed + " of " + sent.size());
        record.tell("UNASKED " + (changed > 0 ? "was broken" : "held"));
        return changed > 0 ? 1 : 0;
    }
}
