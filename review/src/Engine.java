import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;

/** Stand-in of a model runner: holds, reports, handles, prefill and streams, as PROTOCOL.md has them. */
class Engine extends Runner {

    static final int EVENTS = 6;

    final String stage;
    final AtomicInteger answers = new AtomicInteger();
    final AtomicInteger running = new AtomicInteger();
    final AtomicInteger names = new AtomicInteger();

    Engine(String id, String stage) throws IOException {
        super(id);
        this.stage = stage;
        script = this::answer;
    }

    void answer(Arrival arrival, Link link) throws Exception {
        answers.incrementAndGet();
        String path = arrival.path();
        if (path.equals("/v1/hold-take")) {
            holdTake(arrival, link);
        } else if (path.equals("/v1/report")) {
            link.send(json(200, "{\"stage\":\"" + stage + "\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"busy\":false,"
                    + "\"seq\":0,\"queued\":0,\"running\":" + running.get() + ",\"kv_used\":0,\"kv_total\":53697,\"kv_handles\":0,"
                    + "\"pinned\":0,\"held\":0,\"next\":0,\"runs\":[],\"born\":1700000000000}"));
        } else if (path.startsWith("/v1/")) {
            link.send(json(200, "{\"born\":1700000000000}"));
        } else if (arrival.header("cyclamenpaddle-stage").equals("prefill")) {
            prefill(arrival, link);
        } else {
            work(arrival, link);
        }
    }

    void holdTake(Arrival arrival, Link link) throws Exception {
        grant(link);
    }

    final void grant(Link link) throws IOException {
        link.send(json(200, "{\"hold\":\"h" + names.incrementAndGet() + "\",\"born\":1700000000000}"));
    }

    void prefill(Arrival arrival, Link link) throws Exception {
        Thread.sleep(100);
        handle(arrival, link);
    }

    final void handle(Arrival arrival, Link link) throws IOException {
        String body = "{\"kv_handle\":\"3fa0" + names.incrementAndGet() + "\",\"tokens\":5200,\"version\":1,\"born\":1700000000000}";
        link.send(head(200) + "Cyclamenpaddle-Attempt-Id: " + arrival.id() + "\r\nContent-Type: application/json\r\nContent-Length: "
                + body.length() + "\r\n\r\n" + body);
    }

    void work(Arrival arrival, Link link) throws Exception {
        running.incrementAndGet();
        try {
            stream(arrival, link);
        } finally {
            running.decrementAndGet();
        }
    }

    final void stream(Arrival arrival, Link link) throws Exception {
        link.send(head(200) + "Cyclamenpaddle-Attempt-Id: " + arrival.id() + "\r\nCyclamenpaddle-Server-Signature: 3e1b." + id
                + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        String last = arrival.header("last-event-id");
        for (int i = last.isEmpty() ? 1 : Integer.parseInt(last) + 1; i <= EVENTS; i++) {
            String event = "id: " + i + "\ndata: token " + i + "\n\n";
            link.send(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
            Thread.sleep(40);
        }
        link.send("0\r\n\r\n");
    }

    static String request(String id, long deadlineMillis) {
        return Caller.request("POST", "/lohu930/2f", id, deadlineMillis, "Cyclamenpaddle-Model: m\r\nCyclamenpaddle-Token-Usage: 5200,80\r\n"
                + "Cyclamenpaddle-Prompt-Prefix: 5c1e07a2:200," + Integer.toHexString(id.hashCode()) + ":5000\r\n", "prompt of " + id);
    }
}
