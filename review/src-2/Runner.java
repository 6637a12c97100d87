import java.io.IOException;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Stand-in of a runner of a plain service: it answers health checks, runs requests for a time, and
 * rejects requests that expect another instance, as PROTOCOL.md describes it.
 */
final class Runner implements AutoCloseable {

    /** Decides what the runner does with one request that it begins to run. */
    interface Behaviour {
        /** Returns whether the request has been handled; false for the usual answer. */
        boolean handle(Runner runner, Web.Request request, long startMillis) throws Exception;
    }

    final String id;
    final String service;
    final Web web;
    final Record record;
    final AtomicLong runs = new AtomicLong();
    volatile long workMillis;
    volatile boolean leaving;
    volatile Behaviour behaviour = (runner, request, start) -> false;

    final String version;
    final long born = System.currentTimeMillis();

    Runner(String id, String service, long workMillis, Record record) throws IOException {
        this(id, service, workMillis, record, 0, "v1");
    }

    /** Creates a runner at a port that an earlier one may have had; 0 for any. */
    Runner(String id, String service, long workMillis, Record record, int port, String version)
            throws IOException {
        this.id = id;
        this.version = version;
        this.service = service;
        this.workMillis = workMillis;
        this.record = record;
        web = new Web(port, this::handle);
    }

    String entry(String state) {
        return "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + web.port()
                + "\",\"zone\":\"z1\",\"version\":\"" + version + "\",\"slots\":64,\"state\":\"" + state
                + "\",\"cold_remaining_ms\":0,\"seq\":4,\"born\":" + born + "}";
    }

    /** Returns the headers of an answer to a request. */
    String headers(Web.Request request) {
        return "Cyclamenpaddle-Attempt-Id: " + request.header("Cyclamenpaddle-Attempt-Id") + "\r\n"
                + "Cyclamenpaddle-Server-Signature: sig." + id + "\r\n"
                + (leaving ? "Server-Leaving: 1\r\n" : "");
    }

    private void handle(Web.Request request) throws Exception {
        if (request.path().equals("/health")) {
            request.connection()
                    .respond(
                            leaving ? 503 : 200,
                            "Cyclamenpaddle-Instance-Id: " + id + "\r\n"
                                    + (leaving ? "Server-Leaving: 1\r\n" : ""),
                            "");
            return;
        }
        String expected = request.header("Cyclamenpaddle-Expect-Instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
            request.connection()
                    .respond(421, "Cyclamenpaddle-Instance-Id: " + id + "\r\n", "");
            return;
        }
        String attempt = request.header("Cyclamenpaddle-Attempt-Id");
        long start = record.millis();
        runs.incrementAndGet();
        record.line("runner " + id + " runs " + attempt + " " + request.path());
        if (behaviour.handle(this, request, start)) {
            return;
        }
        Thread.sleep(workMillis);
        request.connection().respond(200, headers(request), "done " + attempt + " by " + id);
        record.line("runner " + id + " has answered " + attempt);
    }

    @Override
    public void close() throws IOException {
        web.close();
    }
}
