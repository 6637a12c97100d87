import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Two of eight runners of a service end one after the other and start again at once, under their ids
 * and at their addresses, with another software version. Meanwhile the store is down.
 */
final class StreamVersions {
    private static final int EVENTS = 30;

    /** Tries of a client for one stream; clients retry a few times within their deadline. */
    private static final int MAX_TRIES = 4;

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

    /** Writes the events of a stream after that which the request names; each tells its version. */
    static boolean stream(Runner runner, Web.Request request, long start) throws Exception {
        Web.Connection connection = request.connection();
        connection.write(
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + runner.headers(request)
                        + "Transfer-Encoding: chunked\r\n\r\n");
        String after = request.header("Last-Event-Id");
        for (int i = after.isEmpty() ? 1 : Integer.parseInt(after) + 1; i <= EVENTS; i++) {
            Thread.sleep(200);
            String event = "id: " + i + "\ndata: " + runner.version + "\n\n";
            connection.write(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
        }
        connection.write("0\r\n\r\n");
        return true;
    }

    /** One stream of a client, over its tries. */
    private static final class Reader {
        final Map<Integer, String> versions = new TreeMap<>();
        boolean complete;

        void read(Deployment world, Relay relay, String name) {
            String resumes = "";
            for (int attempt = 1; attempt <= MAX_TRIES && !complete; attempt++) {
                String id = name + "-" + attempt;
                int last = versions.size();
                String headers =
                        Deployment.request(id, 14_000)
                                + (last == 0
                                        ? ""
                                        : "Last-Event-Id: " + last + "\r\nResumes: " + resumes
                                                + "\r\n");
                try (Caller caller = new Caller(relay.port, 14_000)) {
                    world.record.line("client sends " + id + " after event " + last);
                    caller.send("POST", "/notes/a", headers, "lot");
                    String status = Web.line(caller.input());
                    world.record.line("client got for " + id + ": " + status);
                    Map<String, String> head = Web.headers(caller.input());
                    if (!status.contains(" 200 ")) {
                        double seconds =
                                Double.parseDouble(head.getOrDefault("Retry-After", "0.2"));
                        Thread.sleep((long) (1_000 * seconds));
                        continue;
                    }
                    if (last == 0) {
                        resumes = id;
                    }
                    complete = events(caller);
                } catch (IOException | InterruptedException | RuntimeException ended) {
                    world.record.line("client lost " + id + ": " + ended);
                }
            }
        }

        private boolean events(Caller caller) throws IOException {
            int id = 0;
            for (String line = Web.line(caller.input());
                    line != null;
                    line = Web.line(caller.input())) {
                if (line.startsWith("id: ")) {
                    id = Integer.parseInt(line.substring(4));
                } else if (line.startsWith("data: ")) {
                    versions.put(id, line.substring(6));
                } else if (line.equals("0")) {
                    return true;
                }
            }
            throw new IOException("closed within the stream");
        }
    }

    private static Runner add(Deployment world, int number) throws IOException {
        Runner runner = world.runner("i-notes" + number, "notes", 0);
        runner.behaviour = StreamVersions::stream;
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
        List<Reader> readers = new ArrayList<>();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            Reader reader = new Reader();
            readers.add(reader);
            String name = "note-" + i;
            Relay relay = world.relays.get(i % 3);
            threads.add(Web.daemon(() -> reader.read(world, relay, name)));
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
            next.behaviour = StreamVersions::stream;
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
