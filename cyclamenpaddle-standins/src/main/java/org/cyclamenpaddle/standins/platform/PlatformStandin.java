package org.cyclamenpaddle.standins.platform;

import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.server.ServerBuilder;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.time.Duration;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import java.util.function.Supplier;
import org.cyclamenpaddle.core.time.MonotonicClock;
import org.cyclamenpaddle.standins.http.JsonResponses;
import org.cyclamenpaddle.standins.http.StandinServer;

/** Platform stand-in that serves the object API and host list over HTTP, with fault switches. */
public final class PlatformStandin implements AutoCloseable {

    private static final int HISTORY_LIMIT = 10_000;
    private static final long NO_VERSION = -1;
    private static final long MAX_WAIT_MILLIS = 60_000;

    private final ObjectStore mStore;
    private final StandinServer mServer = new StandinServer(this::routes);
    private final HostList mHosts = new HostList(new MonotonicClock());
    private final Map<CallKind, AtomicLong> mCalls = new ConcurrentHashMap<>();
    private final AtomicInteger mResponsesToLose = new AtomicInteger();
    private volatile Outage mOutage = Outage.NONE;
    private volatile long mResponseDelayMillis;

    /** Creates a platform with the default event history. */
    public PlatformStandin() {
        this(HISTORY_LIMIT);
    }

    /**
     * Creates a platform with a bounded event history.
     *
     * @param historyLimit number of events retained; a watch from an older revision gets 410
     */
    public PlatformStandin(int historyLimit) {
        mStore = new ObjectStore(historyLimit);
        Arrays.stream(CallKind.values()).forEach(kind -> mCalls.put(kind, new AtomicLong()));
    }

    /**
     * Body of {@code POST /standin/faults}.
     *
     * @param outage availability of the API; available if absent
     * @param slowMillis delay of each response, in milliseconds
     * @param loseAnswers number of next writes that take effect but lose their response
     * @param compact whether to discard the event history now
     */
    public record Faults(Outage outage, long slowMillis, int loseAnswers, boolean compact) {}

    private record Value(String value) {}

    private record HostsBody(List<ListedHost> hosts, long lagMillis) {}

    /** Starts listening on {@code port}; 0 selects a free port. */
    public void start(int port) {
        mServer.start(port);
    }

    /** Returns the listening port. */
    public int port() {
        return mServer.port();
    }

    @Override
    public void close() {
        mServer.stop();
    }

    /** Sets the availability of the API for all later calls. */
    public void outage(Outage outage) {
        mOutage = outage;
    }

    /** Delays every response by {@code millis}. */
    public void delayResponses(long millis) {
        mResponseDelayMillis = millis;
    }

    /** Makes the next {@code writes} writes take effect but lose their response. */
    public void loseResponses(int writes) {
        mResponsesToLose.set(writes);
    }

    /** Discards the event history, so that watches from older revisions get 410. */
    public void compact() {
        mStore.compact();
    }

    /** Sets the host list, which becomes visible after {@code lagMillis}. */
    public void hosts(List<ListedHost> hosts, long lagMillis) {
        mHosts.set(hosts, lagMillis);
    }

    /** Returns the number of calls of a kind; a pending watch counts once. */
    public long calls(CallKind kind) {
        return mCalls.get(kind).get();
    }

    /** Returns the store-wide revision. */
    public long revision() {
        return mStore.revision();
    }

    /** Returns the value stored under a key. */
    public Optional<String> value(String key) {
        return mStore.read(key).map(ObjectStore.StoredObject::value);
    }

    private void routes(ServerBuilder builder) {
        route(builder, CallKind.LIST, b -> b.get("/objects"), this::list);
        route(builder, CallKind.READ, b -> b.get("regex:^/objects/(?<key>.+)$"), this::read);
        route(builder, CallKind.WRITE, b -> b.put("regex:^/objects/(?<key>.+)$"), this::put);
        route(builder, CallKind.WRITE, b -> b.delete("regex:^/objects/(?<key>.+)$"), this::delete);
        route(builder, CallKind.WATCH, b -> b.get("/watch"), this::watch);
        route(builder, CallKind.HOSTS, b -> b.get("/hosts"), this::hostList);
        builder.route()
                .post("/standin/faults")
                .build((ctx, req) -> JsonResponses.withBody(ctx, Faults.class, this::apply));
        builder.route()
                .post("/standin/hosts")
                .build((ctx, req) -> JsonResponses.withBody(ctx, HostsBody.class, this::apply));
        builder.route().get("/standin/calls").build((ctx, req) -> JsonResponses.ok(mCalls));
    }

    private void route(
            ServerBuilder builder,
            CallKind kind,
            Function<
                            com.linecorp.armeria.server.ServiceBindingBuilder,
                            com.linecorp.armeria.server.ServiceBindingBuilder>
                    path,
            Function<ServiceRequestContext, HttpResponse> handler) {
        path.apply(builder.route()).build((ctx, req) -> call(ctx, kind, handler));
    }

    private HttpResponse call(
            ServiceRequestContext ctx,
            CallKind kind,
            Function<ServiceRequestContext, HttpResponse> handler) {
        mCalls.get(kind).incrementAndGet();
        Supplier<HttpResponse> response = () -> mOutage.apply(() -> handler.apply(ctx));
        long delayMillis = mResponseDelayMillis;
        return delayMillis == 0
                ? response.get()
                : HttpResponse.delayed(response, Duration.ofMillis(delayMillis), ctx.eventLoop());
    }

    private HttpResponse apply(Faults faults) {
        outage(faults.outage() == null ? Outage.NONE : faults.outage());
        delayResponses(faults.slowMillis());
        loseResponses(faults.loseAnswers());
        if (faults.compact()) {
            compact();
        }
        return JsonResponses.ok(faults);
    }

    private HttpResponse apply(HostsBody body) {
        hosts(body.hosts(), body.lagMillis());
        return JsonResponses.ok(Map.of("hosts", body.hosts().size()));
    }

    private HttpResponse list(ServiceRequestContext ctx) {
        return JsonResponses.ok(mStore.list(ctx.queryParams().get("prefix", "")));
    }

    private HttpResponse read(ServiceRequestContext ctx) {
        String key = ctx.pathParam("key");
        return mStore.read(key)
                .map(JsonResponses::ok)
                .orElseGet(
                        () ->
                                JsonResponses.error(
                                        HttpStatus.NOT_FOUND, "not-found", "no object " + key));
    }

    private HttpResponse put(ServiceRequestContext ctx) {
        long expected = expectedVersion(ctx);
        if (expected == NO_VERSION) {
            return missingCondition();
        }
        String key = ctx.pathParam("key");
        return JsonResponses.withBody(
                ctx,
                Value.class,
                body -> writeResponse(ctx, mStore.put(key, body.value(), expected)));
    }

    private HttpResponse delete(ServiceRequestContext ctx) {
        long expected = expectedVersion(ctx);
        if (expected <= 0) {
            return missingCondition();
        }
        return writeResponse(ctx, mStore.delete(ctx.pathParam("key"), expected));
    }

    private HttpResponse writeResponse(ServiceRequestContext ctx, ObjectStore.WriteResult result) {
        if (mResponsesToLose.getAndUpdate(n -> Math.max(0, n - 1)) > 0) {
            return JsonResponses.dropConnection(ctx);
        }
        if (result.done()) {
            return JsonResponses.ok(Map.of("version", result.version()));
        }
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("reason", "conflict");
        result.found().ifPresent(found -> body.put("version", found.version()));
        result.found().ifPresent(found -> body.put("value", found.value()));
        return JsonResponses.of(HttpStatus.CONFLICT, body);
    }

    private HttpResponse watch(ServiceRequestContext ctx) {
        String prefix = ctx.queryParams().get("prefix", "");
        long after = ctx.queryParams().getLong("after", 0);
        long waitMillis = Math.min(MAX_WAIT_MILLIS, ctx.queryParams().getLong("waitMillis", 0));
        return mStore.watch(prefix, after)
                .map(events -> awaitEvents(ctx, events, waitMillis))
                .orElseGet(
                        () ->
                                JsonResponses.error(
                                        HttpStatus.GONE, "compacted", "list the objects again"));
    }

    private HttpResponse awaitEvents(
            ServiceRequestContext ctx,
            CompletableFuture<ObjectStore.WatchResponse> events,
            long waitMillis) {
        ctx.eventLoop().schedule(() -> mStore.endWatch(events), waitMillis, TimeUnit.MILLISECONDS);
        return HttpResponse.of(events.thenApply(JsonResponses::ok));
    }

    private HttpResponse hostList(ServiceRequestContext ctx) {
        return JsonResponses.ok(Map.of("hosts", mHosts.visible()));
    }

    private static HttpResponse missingCondition() {
        return JsonResponses.error(
                HttpStatus.PRECONDITION_REQUIRED,
                "no-condition",
                "If-Match with a version or If-None-Match: * is needed");
    }

    private static long expectedVersion(ServiceRequestContext ctx) {
        if ("*".equals(ctx.request().headers().get(HttpHeaderNames.IF_NONE_MATCH))) {
            return 0;
        }
        String match = ctx.request().headers().get(HttpHeaderNames.IF_MATCH, "");
        String digits = match.replace("\"", "");
        return digits.matches("[1-9][0-9]{0,17}") ? Long.parseLong(digits) : NO_VERSION;
    }
}
