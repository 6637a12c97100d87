import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Stand-in of the platform's store, as PROTOCOL.md describes it: objects by kind and name, one
 * revision counter, conditional writes, watches, and stale reads where a call allows them.
 */
final class Store implements AutoCloseable {
    private record Change(long revision, long atMillis, String kind, String name, String object) {}

    final Web web;
    private final List<Change> mHistory = new ArrayList<>();
    private long mRevision = 100;
    private int mWaiting;
    private int mCut;
    private final Map<String, TreeMap<String, Change>> mObjects = new LinkedHashMap<>();

    /** Age of what a call with allow_stale gets, in milliseconds. */
    volatile long staleMillis;

    /** Whether the store is down: calls get no answer, and their connections stay open. */
    volatile boolean down;

    Store(long staleMillis) throws IOException {
        this.staleMillis = staleMillis;
        web = new Web(0, this::handle);
    }

    /** Cuts off all watches that are waiting, without an answer; returns their number. */
    synchronized int cutWatches() {
        mCut++;
        notifyAll();
        return mWaiting;
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }

    /** Writes an object unconditionally, as the operator and the runners do. */
    synchronized void put(String kind, String name, String spec) {
        Change old = objects(kind).get(name);
        change(kind, name, Json.parse(spec), old == null ? mRevision + 1 : created(old));
    }

    synchronized void remove(String kind, String name) {
        Change old = objects(kind).remove(name);
        if (old != null) {
            mRevision++;
            mHistory.add(new Change(mRevision, now(), kind, name, null));
            notifyAll();
        }
    }

    private TreeMap<String, Change> objects(String kind) {
        return mObjects.computeIfAbsent(kind, key -> new TreeMap<>());
    }

    private static long created(Change change) {
        return (Long) Json.object(Json.object(Json.parse(change.object())).get("metadata"))
                .get("created");
    }

    private Change change(String kind, String name, Object spec, long created) {
        mRevision++;
        Map<String, Object> metadata = new LinkedHashMap<>();
        metadata.put("name", name);
        metadata.put("revision", mRevision);
        metadata.put("created", created);
        metadata.put("finalizers", List.of());
        metadata.put("deleting", false);
        Map<String, Object> object = new LinkedHashMap<>();
        object.put("metadata", metadata);
        object.put("spec", spec);
        object.put("status", null);
        Change change = new Change(mRevision, now(), kind, name, Json.write(object));
        objects(kind).put(name, change);
        mHistory.add(change);
        notifyAll();
        return change;
    }

    private void handle(Web.Request request) throws Exception {
        if (down) {
            request.connection().silent = true;
            return;
        }
        String[] path = request.path().split("/");
        if (path.length < 4 || !request.path().startsWith("/v1/objects/")) {
            request.connection().json(404, Map.of());
        } else if (path.length > 4) {
            named(request, path[3], path[4]);
        } else if (request.method().equals("POST")) {
            create(request, path[3]);
        } else if (request.parameter("watch").isEmpty()) {
            list(request, path[3]);
        } else {
            watch(request, path[3]);
        }
    }

    private boolean stale(Web.Request request) {
        return request.parameter("allow_stale").equals("1");
    }

    /** Returns the revision that a call sees. */
    private long visible(Web.Request request) {
        if (!stale(request)) {
            return mRevision;
        }
        long at = now() - staleMillis;
        long visible = mHistory.isEmpty() ? mRevision : mHistory.get(0).revision();
        for (Change change : mHistory) {
            if (change.atMillis() <= at) {
                visible = Math.max(visible, change.revision());
            }
        }
        return visible;
    }

    private synchronized void list(Web.Request request, String kind) throws IOException {
        long visible = visible(request);
        TreeMap<String, String> items = new TreeMap<>();
        for (Change change : mHistory) {
            if (change.kind().equals(kind) && change.revision() <= visible) {
                if (change.object() == null) {
                    items.remove(change.name());
                } else {
                    items.put(change.name(), change.object());
                }
            }
        }
        request.connection()
                .respond(
                        200,
                        "Content-Type: application/json\r\n",
                        "{\"items\":[" + String.join(",", items.values())
                                + "],\"more\":false,\"as_of\":" + visible + "}");
    }

    private void watch(Web.Request request, String kind) throws Exception {
        long after = Long.parseLong(request.parameter("watch"));
        long wait = Math.min(30_000, Long.parseLong("0" + request.parameter("wait_ms")));
        String body;
        synchronized (this) {
            long end = now() + wait;
            List<String> events = events(request, kind, after);
            int cut = mCut;
            mWaiting++;
            while (events.isEmpty() && now() < end && !request.connection().silent && !down) {
                wait(Math.max(1, Math.min(50, end - now())));
                if (cut != mCut) {
                    mWaiting--;
                    request.connection().end();
                    return;
                }
                events = events(request, kind, after);
            }
            mWaiting--;
            body = "{\"events\":[" + String.join(",", events) + "],\"as_of\":" + visible(request)
                    + "}";
        }
        if (down) {
            request.connection().silent = true;
        }
        request.connection().respond(200, "Content-Type: application/json\r\n", body);
    }

    private List<String> events(Web.Request request, String kind, long after) {
        long visible = visible(request);
        List<String> events = new ArrayList<>();
        for (Change change : mHistory) {
            if (change.kind().equals(kind)
                    && change.revision() > after
                    && change.revision() <= visible) {
                events.add(
                        change.object() == null
                                ? "{\"removed\":true,\"object\":{\"metadata\":{\"name\":\""
                                        + change.name() + "\",\"revision\":" + change.revision()
                                        + "}}}"
                                : "{\"removed\":false,\"object\":" + change.object() + "}");
            }
        }
        return events;
    }

    private synchronized void create(Web.Request request, String kind) throws IOException {
        Map<String, Object> body = Json.object(Json.parse(request.text()));
        String name = String.valueOf(Json.object(body.get("metadata")).get("name"));
        Change old = objects(kind).get(name);
        if (old != null) {
            request.connection()
                    .respond(409, "Content-Type: application/json\r\n", old.object());
            return;
        }
        Change made = change(kind, name, body.get("spec"), mRevision + 1);
        request.connection().respond(201, "Content-Type: application/json\r\n", made.object());
    }

    private synchronized void named(Web.Request request, String kind, String name)
            throws IOException {
        Change old = objects(kind).get(name);
        if (stale(request) && old != null && old.revision() > visible(request)) {
            long visible = visible(request);
            Change seen = null;
            for (Change change : mHistory) {
                if (change.kind().equals(kind)
                        && change.name().equals(name)
                        && change.revision() <= visible) {
                    seen = change.object() == null ? null : change;
                }
            }
            old = seen;
        }
        if (old == null) {
            request.connection().json(404, Map.of());
            return;
        }
        String json = "Content-Type: application/json\r\n";
        if (request.method().equals("GET")) {
            request.connection().respond(200, json, old.object());
            return;
        }
        Map<String, Object> body =
                request.body().length == 0
                        ? Map.of()
                        : Json.object(Json.parse(request.text()));
        Object expected = Json.object(body.get("metadata")).get("revision");
        if (!request.parameter("revision").isEmpty()) {
            expected = Long.parseLong(request.parameter("revision"));
        }
        if (expected != null && !expected.equals(old.revision())) {
            request.connection().respond(409, json, old.object());
        } else if (request.method().equals("DELETE")) {
            remove(kind, name);
            request.connection().respond(200, json, old.object());
        } else {
            Object spec = Json.object(Json.parse(old.object())).get("spec");
            Change made =
                    spec.equals(body.get("spec"))
                            ? old
                            : change(kind, name, body.get("spec"), created(old));
            request.connection().respond(200, json, made.object());
        }
    }

    @Override
    public void close() throws IOException {
        web.close();
    }
}
