import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * Stand-in of the platform's store as PROTOCOL.md describes it: objects by kind and name, listings,
 * watches, conditional writes. It is always up. Contents are kept as text and not interpreted.
 */
final class Store implements AutoCloseable {

    private static final long ANSWER_MILLIS = 4;

    private record Stored(String name, long revision, long created, String spec) {
        String json() {
            return "{\"metadata\":{\"name\":\""
                    + name
                    + "\",\"revision\":"
                    + revision
                    + ",\"created\":"
                    + created
                    + ",\"finalizers\":[],\"deleting\":false},\"spec\":"
                    + spec
                    + ",\"status\":null}";
        }
    }

    private record Change(long revision, String kind, boolean removed, Stored object) {}

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final Map<String, TreeMap<String, Stored>> mKinds = new HashMap<>();
    private final List<Change> mHistory = new ArrayList<>();
    private final HttpServer mServer;
    private final ExecutorService mThreads = Executors.newCachedThreadPool();
    private long mRevision = 100;

    Store() throws IOException {
        mServer = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 256);
        mServer.setExecutor(mThreads);
        mServer.createContext("/v1/objects/", this::serve);
        mServer.start();
    }

    int port() {
        return mServer.getAddress().getPort();
    }

    /** Writes an object as the operator or a runner does; returns once it is acknowledged. */
    synchronized void put(String kind, String name, String spec) {
        TreeMap<String, Stored> objects = mKinds.computeIfAbsent(kind, k -> new TreeMap<>());
        Stored old = objects.get(name);
        mRevision++;
        Stored now = new Stored(name, mRevision, old == null ? mRevision : old.created(), spec);
        objects.put(name, now);
        mHistory.add(new Change(mRevision, kind, false, now));
        notifyAll();
    }

    synchronized void remove(String kind, String name) {
        Stored old = mKinds.computeIfAbsent(kind, k -> new TreeMap<>()).remove(name);
        if (old != null) {
            mRevision++;
            mHistory.add(new Change(mRevision, kind, true, old));
            notifyAll();
        }
    }

    private void serve(HttpExchange exchange) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        String answer;
        int status = 200;
        try {
            Thread.sleep(ANSWER_MILLIS);
            String[] path = exchange.getRequestURI().getPath().substring("/v1/objects/".length()).split("/");
            Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
            String method = exchange.getRequestMethod();
            if (method.equals("GET") && path.length == 1 && query.containsKey("watch")) {
                answer = watch(path[0], Long.parseLong(query.get("watch")), Long.parseLong(query.getOrDefault("wait_ms", "0")));
            } else if (method.equals("GET") && path.length == 1) {
                answer = list(path[0], query.getOrDefault("after", ""));
            } else {
                Map.Entry<Integer, String> result = one(method, path, query, new String(body, StandardCharsets.UTF_8));
                status = result.getKey();
                answer = result.getValue();
            }
        } catch (Exception failure) {
            status = 400;
            answer = "{}";
        }
        byte[] bytes = answer.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private synchronized Map.Entry<Integer, String> one(String method, String[] path, Map<String, String> query, String body)
            throws IOException {
        TreeMap<String, Stored> objects = mKinds.computeIfAbsent(path[0], k -> new TreeMap<>());
        JsonNode document = body.isEmpty() ? MAPPER.createObjectNode() : MAPPER.readTree(body);
        String name = path.length > 1 ? path[1] : document.path("metadata").path("name").asText();
        Stored old = objects.get(name);
        if (method.equals("POST")) {
            if (old != null) {
                return Map.entry(409, old.json());
            }
            put(path[0], name, document.path("spec").toString());
            return Map.entry(201, objects.get(name).json());
        }
        if (old == null) {
            return Map.entry(404, "{}");
        }
        if (method.equals("GET")) {
            return Map.entry(200, old.json());
        }
        JsonNode condition = document.path("metadata").path("revision");
        long revision = condition.isIntegralNumber() ? condition.asLong() : Long.parseLong(query.getOrDefault("revision", "-1"));
        if (revision >= 0 && revision != old.revision()) {
            return Map.entry(409, old.json());
        }
        if (method.equals("DELETE")) {
            remove(path[0], name);
            return Map.entry(200, "{}");
        }
        String spec = document.path("spec").toString();
        if (path.length == 2 && !spec.equals(old.spec())) {
            put(path[0], name, spec);
        }
        return Map.entry(200, objects.get(name).json());
    }

    private synchronized String list(String kind, String after) {
        List<String> items = new ArrayList<>();
        mKinds.getOrDefault(kind, new TreeMap<>()).tailMap(after, false).values().forEach(o -> items.add(o.json()));
        return "{\"items\":[" + String.join(",", items) + "],\"more\":false,\"as_of\":" + mRevision + "}";
    }

    private synchronized String watch(String kind, long after, long waitMillis) throws InterruptedException {
        long end = System.nanoTime() + waitMillis * 1_000_000;
        while (true) {
            List<String> events = new ArrayList<>();
            for (Change change : mHistory) {
                if (change.revision() > after && change.kind().equals(kind)) {
                    events.add("{\"removed\":" + change.removed() + ",\"object\":" + change.object().json() + "}");
                }
            }
            long left = (end - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || left <= 0) {
                return "{\"events\":[" + String.join(",", events) + "],\"as_of\":" + mRevision + "}";
            }
            wait(left);
        }
    }

    private static Map<String, String> query(String text) {
        Map<String, String> query = new HashMap<>();
        for (String pair : text == null ? new String[0] : text.split("&")) {
            int equals = pair.indexOf('=');
            query.put(pair.substring(0, equals), URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
        }
        return query;
    }

    @Override
    public void close() {
        mServer.stop(0);
        mThreads.shutdownNow();
    }
}
