import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The store cuts off the watches that wait, twice within two seconds. In between, the last runner of a
 * service leaves: its entry is removed, and it serves on for a time. Requests that are sent later than
 * drain_ms after that reach it.
 */
final class LapsedRunner {
    private static final int DRAIN_MILLIS = 2_000;

    /** Time between a cut and the removal, and between the removal and the next cut. */
    private static final int CUT_MILLIS = 950;

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
        Runner leaving = world.runner("i-desk1", "desk", 500);
        world.runner("i-till1", "till", 20);
        world.configure(
                7,
                Deployment.route("book", "/book/", "unsafe", 1_500, 600, 1, "desk"),
                Deployment.service("desk") + "," + Deployment.service("till"));
        world.startRelays(3);
        Thread.sleep(6_000);
        for (Relay relay : world.relays) {
            if (!world.call(relay, "POST", "/book/a", "warm-" + relay.name, 1_500)
                    .startsWith("200")) {
                record.tell("a request before the disruption failed");
                return 2;
            }
        }
        Thread.sleep(4_000);
        cut(world);
        Thread.sleep(CUT_MILLIS);

        leaving.leaving = true;
        world.store.remove("servers", leaving.id);
        long removed = record.millis();
        record.tell("the entry of " + leaving.id + " is removed");
        Map<String, Long> lateRuns = new ConcurrentHashMap<>();
        leaving.behaviour =
                (runner, request, start) -> {
                    if (start > removed + DRAIN_MILLIS) {
                        lateRuns.put(request.header("Cyclamenpaddle-Attempt-Id"), start - removed);
                    }
                    return false;
                };
        Thread.sleep(CUT_MILLIS);
        cut(world);
        Thread.sleep(DRAIN_MILLIS + 300 - CUT_MILLIS);
        Map<String, String> results = new ConcurrentHashMap<>();
        List<Thread> clients = new ArrayList<>();
        for (Relay relay : world.relays) {
            for (int i = 1; i <= 3; i++) {
                String id = "late-" + relay.name + "-" + i;
                clients.add(
                        Web.daemon(
                                () ->
                                        results.put(
                                                id,
                                                world.call(relay, "POST", "/book/a", id, 1_500))));
            }
        }
        Thread.sleep(350);
        leaving.close();
        record.tell(leaving.id + " exits, " + (record.millis() - removed) + " ms after that");
        for (Thread client : clients) {
            client.join();
        }
        lateRuns.forEach(
                (id, late) ->
                        record.tell(
                                id + " reached it " + late + " ms after the removal; its client got: "
                                        + results.get(id).strip()));
        record.tell("requests at the leaving runner later than drain_ms: " + lateRuns.size());
        record.tell("DRAIN " + (lateRuns.isEmpty() ? "held" : "was broken"));
        return lateRuns.isEmpty() ? 0 : 1;
    }

    private static void cut(Deployment world) {
        if (Deployment.TROUBLE) {
            world.record.tell("the store cuts off watches: " + world.store.cutWatches());
        }
    }
}
