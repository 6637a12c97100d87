import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Two of eight runners of a service end one after the other and start again at once, under their ids
 * and at their addresses, with another software version. Meanwhile the store is down.
 */
final class StreamVersions {
    private static final int RUNNERS = 8;
    private static final int RESTARTED = 2;
    private static final int STREAMS = 60;

    /** Streams with events of two versions that the rule allows. */
    private static final int ALLOWED = 2;

    public static void main(String[] args) {
        int exit = 2;
        try (Deployment world = new Deployment(Path.of(args[0]), 0)) {
            exit = run(world);
        } catch (Exception failed) {
            failed.printStackTrace();
        }
        System.exit(exit);
    }

    private static Runner add(Deployment world, int number) throws IOException {
        Runner runner = world.runner("i-notes" + number, "notes", 0);
        runner.behaviour = Streams::write;
        return runner;
    }

    private static int run(Deployment world) throws Exception {
        Record record = world.record;
        for (int i = 2; i <= RUNNERS; i++) {
            add(world, i);
        }
        String route =
                Deployment.route("notes", "/notes/", "streaming", 14_000, 900, 2, "notes")
                        .replace("}", ",\"resumable\":true,\"target_gap_ms\":300}");
        world.configure(7, route, Deployment.service("notes"));
        world.startRelays(3);
        Thread.sleep(7_000);
        List<Streams.Reader> readers = new ArrayList<>();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            Streams.Reader reader = new Streams.Reader();
            readers.add(reader);
            String name = "note-" + i;
            Relay relay = world.relays.get(i % 3);
            threads.add(Web.daemon(() -> reader.read(world, relay, relay, name)));
        }
        Thread.sleep(1_000);
        Runner added = add(world, 1);
        Thread.sleep(1_500);
        world.store.down = Deployment.TROUBLE;
        record.tell("store down: " + world.store.down);
        Thread.sleep(300);
        for (Runner old : List.of(added, world.runners.get(0))) {
            int port = old.web.port();
            old.close();
            record.tell(old.id + " ends after " + old.runs + " runs");
            Thread.sleep(400);
            Runner next = new Runner(old.id, "notes", 0, record, port, "v2");
            next.behaviour = Streams::write;
            world.runners.add(next);
            if (!world.store.down) {
                world.store.put("servers", next.id, next.entry("ready"));
            }
            record.tell(next.id + " has started again with version v2");
            Thread.sleep(300);
        }
        Thread.sleep(1_500);
        world.store.down = false;
        for (Runner runner : world.runners.subList(RUNNERS, RUNNERS + RESTARTED)) {
            world.store.put("servers", runner.id, runner.entry("ready"));
        }
        record.tell("store back");
        int joined = 0;
        for (int i = 0; i < readers.size(); i++) {
            threads.get(i).join(20_000);
            long kinds = readers.get(i).versions.values().stream().distinct().count();
            joined += kinds > 1 ? 1 : 0;
            record.line(
                    "stream " + i + (readers.get(i).complete ? ", complete: " : ", not complete: ")
                            + readers.get(i).versions);
        }
        record.tell("streams with events of two versions: " + joined + " of " + readers.size());
        record.tell("ORDER " + (joined > ALLOWED ? "was broken" : "held"));
        return joined > ALLOWED ? 1 : 0;
    }
}
