import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;

/** Streams of events, as runners write them and clients read them. */
final class Streams {
    static final int EVENTS = 30;

    /** Tries of a client for one stream; clients retry a few times within their deadline. */
    private static final int MAX_TRIES = 4;

    private Streams() {}

    /** Writes the events of a stream after that which the request names; each tells its version. */
    static boolean write(Runner runner, Web.Request request, long start) throws Exception {
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
    static final class Reader {
        final Map<Integer, String> versions = new TreeMap<>();
        boolean complete;

        /** Event after which the client took the stream up; 0 if it did not. */
        int takenUpAfter;

        /** Returns whether a stream that was taken up has gone on. */
        boolean wentOn() {
            return takenUpAfter > 0 && versions.size() > takenUpAfter;
        }

        /** Reads a stream; all tries after the first one go to another relay. */
        void read(Deployment world, Relay first, Relay next, String name) {
            String resumes = "";
            for (int attempt = 1; attempt <= MAX_TRIES && !complete; attempt++) {
                String id = name + "-" + attempt;
                Relay relay = attempt == 1 ? first : next;
                int last = versions.size();
                takenUpAfter = takenUpAfter > 0 ? takenUpAfter : last;
                String headers =
                        Deployment.request(id, 14_000)
                                + (last == 0
                                        ? ""
                                        : "Last-Event-Id: " + last + "\r\nResumes: " + resumes
                                                + "\r\n");
                try (Caller caller = new Caller(relay.port, 14_000)) {
                    world.record.line(
                            "client sends " + id + " to " + relay.name + " after event " + last);
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
}
