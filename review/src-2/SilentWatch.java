import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The open connections between the relays and the store go silent, while new ones work. After
 * contact_ms a runner leaves; requests that are sent later than drain_ms after that reach it.
 */
final class SilentWatch {
    /** Bounds as on the pages. */
    private static final int CONTACT_MILLIS = 3_000;
    private static final int DRAIN_MILLIS = 2_000;
    private static final int CONFIG_APPLY_MILLIS = 2_000;

    /** Age of stale reads: the pages say seconds. */
    private static final int STALE_MILLIS = 3_000;

    /** Bookings sent to each relay at once. */
    private static final int BOOKINGS = 8;

    public static void main(String[] args) {
        int exit = 2;
        try (Deployment world = new Deployment(Path.of(args[0]), STALE_MILLIS)) {
            exit = run(world);
        } catch (Exception failed) {
            failed.printStackTrace();
        }
        System.exit(exit);
    }

    private static int run(Deployment world) throws Exception {
        Record record = world.record;
        for (int i = 1; i <= 4; i++) {
            world.runner("i-desk" + i, "desk", 500);
        }
        String book = Deployment.route("book", "/book/", "unsafe", 1_500, 600, 1, "desk");
        world.configure(7, book, Deployment.service("desk"));
        world.startRelays(3);
        Thread.sleep(6_000);
        // Each relay has used all runners alike before.
        if (!book(world, "before", () -> {}).values().stream()
                .allMatch(result -> result.startsWith("200"))) {
            record.tell("a request before the disruption failed");
            return 2;
        }
        if (Deployment.TROUBLE) {
            record.tell("open connections to the store go silent: " + world.store.web.silenceOpen());
        }
        Thread.sleep(CONTACT_MILLIS + 1_000);

        Runner leaving = world.runners.get(0);
        leaving.leaving = true;
        world.store.put("servers", leaving.id, leaving.entry("draining"));
        long drained = record.millis();
        record.tell("the store has acknowledged that " + leaving.id + " is draining");
        Map<String, Long> lateRuns = new ConcurrentHashMap<>();
        leaving.behaviour =
                (runner, request, start) -> {
                    if (start > drained + DRAIN_MILLIS) {
                        lateRuns.put(request.header("Cyclamenpaddle-Attempt-Id"), start - drained);
                    }
                    return false;
                };
        Thread.sleep(DRAIN_MILLIS + 150);
        Map<String, String> results =
                book(
                        world,
                        "late",
                        () -> {
                            pause(350);
                            exit(leaving);
                            record.tell(
                                    leaving.id + " exits, " + (record.millis() - drained)
                                            + " ms after that");
                        });
        long lost =
                lateRuns.keySet().stream().filter(id -> !results.get(id).startsWith("200")).count();
        lateRuns.forEach(
                (id, late) ->
                        record.tell(
                                id + " reached it " + late + " ms after the acknowledgement; its "
                                        + "client got: " + results.get(id).strip()));
        record.tell(
                "requests at the leaving runner later than drain_ms: " + lateRuns.size()
                        + ", of these without a success: " + lost);
        world.store.remove("servers", leaving.id);

        newRoute(world, book);
        record.tell("DRAIN " + (lateRuns.isEmpty() ? "held" : "was broken"));
        return lateRuns.isEmpty() ? 0 : 1;
    }

    /**
     * Sends bookings to all relays at once and returns what their clients got.
     *
     * @param meanwhile run when they have been sent
     */
    private static Map<String, String> book(
            Deployment world, String name, Runnable meanwhile)
            throws InterruptedException {
        Map<String, String> results = new ConcurrentHashMap<>();
        List<Thread> clients = new ArrayList<>();
        for (Relay relay : world.relays) {
            for (int i = 1; i <= BOOKINGS; i++) {
                String id = name + "-" + relay.name + "-" + i;
                clients.add(
                        Web.daemon(
                                () ->
                                        results.put(
                                                id,
                                                world.call(relay, "POST", "/book/a", id, 1_500))));
            }
        }
        meanwhile.run();
        for (Thread client : clients) {
            client.join();
        }
        return results;
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private static void exit(Runner runner) {
        try {
            runner.close();
        } catch (IOException closed) {
            throw new UncheckedIOException(closed);
        }
    }

    /** Looks at the configuration as well; this does not decide about the case. */
    private static void newRoute(Deployment world, String book) throws Exception {
        String lots = Deployment.route("lots", "/lots/", "unsafe", 1_500, 600, 1, "desk");
        world.configure(9, book + "," + lots, Deployment.service("desk"));
        Thread.sleep(CONFIG_APPLY_MILLIS + 100);
        int refused = 0;
        for (Relay relay : world.relays) {
            String result = world.call(relay, "POST", "/lots/a", "new-" + relay.name, 1_500);
            refused += result.startsWith("404") ? 1 : 0;
        }
        world.record.tell(
                "besides: hosts that refuse a new route with 404 "
                        + (CONFIG_APPLY_MILLIS + 100)
                        + " ms after its acknowledgement: "
                        + refused);
    }
}
