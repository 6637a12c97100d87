import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Four of six machines are lost for good. Later streams begin at one of the other two, which is lost
 * as well, and their clients take them up at the last one.
 */
final class LostOwners {
    private static final int CONTACT_MILLIS = 3_000;
    private static final int TAKEN_UP = 60;
    private static final int NEW = 20;

    /** Streams that must have been taken up for the rule to apply. */
    private static final int LEAST_TAKEN_UP = 12;

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
        for (int i = 1; i <= 4; i++) {
            world.runner("i-notes" + i, "notes", 0).behaviour = Streams::write;
        }
        String route =
                Deployment.route("notes", "/notes/", "streaming", 14_000, 900, 2, "notes")
                        .replace("}", ",\"resumable\":true,\"target_gap_ms\":300}");
        world.configure(7, route, Deployment.service("notes"));
        world.startRelays(List.of("ahm", "mhs", "ahm", "mhs", "rjk", "bnk"));
        // The relays list each other again 1 and 4 s after their start, and then every 20 s.
        Thread.sleep(10_000);
        Relay first = world.relays.get(0);
        Relay last = world.relays.get(1);
        if (Deployment.TROUBLE) {
            for (Relay relay : world.relays.subList(2, 6)) {
                relay.close();
                record.tell(relay.name + " is lost");
            }
        }
        Thread.sleep(CONTACT_MILLIS + 2_000);
        List<Thread> threads = new ArrayList<>();
        List<Streams.Reader> old = read(world, threads, TAKEN_UP, first, last, "old");
        Thread.sleep(1_500);
        first.close();
        record.tell(first.name + " is lost; " + last.name + " is ready: " + last.ready());
        List<Streams.Reader> fresh = read(world, threads, NEW, last, last, "new");
        for (Thread thread : threads) {
            thread.join(20_000);
        }
        long takenUp = old.stream().filter(reader -> reader.takenUpAfter > 0).count();
        long wentOn = old.stream().filter(Streams.Reader::wentOn).count();
        long begun = fresh.stream().filter(reader -> !reader.versions.isEmpty()).count();
        record.tell("streams taken up at " + last.name + ": " + takenUp + ", went on: " + wentOn);
        record.tell("new streams there: " + NEW + ", began: " + begun);
        if (takenUp < LEAST_TAKEN_UP || begun == 0) {
            return 2;
        }
        boolean broken = (double) wentOn / takenUp < (double) begun / NEW / 2;
        record.tell("LOST " + (broken ? "was broken" : "held"));
        return broken ? 1 : 0;
    }

    private static List<Streams.Reader> read(
            Deployment world,
            List<Thread> threads,
            int count,
            Relay first,
            Relay next,
            String name) {
        List<Streams.Reader> readers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Streams.Reader reader = new Streams.Reader();
            readers.add(reader);
            String id = name + "-" + i;
            threads.add(Web.daemon(() -> reader.read(world, first, next, id)));
        }
        return readers;
    }
}
