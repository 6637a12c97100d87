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
import org.cyclamenpaddle.standins.http.Answers;
import org.cyclamenpaddle.standins.http.StandinServer;

/** Platform stand-in: object API and host list over HTTP, with fault switches. */
public final class PlatformStandin implements AutoCloseable {

    private static final int HISTORY_LIMIT = 10_000;
    private static final long NO_VERSION = -1;
    private static final long MAX_WAIT_MILLIS = 60_000;

    private final ObjectStore mStore;
    private final StandinServer mServer = new StandinServer(this::routes);
    private final HostList mHosts = new HostList(new MonotonicClock());
    private final Map<CallKind, AtomicLong> mCalls = new ConcurrentHashMap<>();
    private final AtomicInteger mLoseAnswers = new AtomicInteger();
    private volatile Outage mOutage = Outage.NONE;
    private volatile long mSlowMillis;

    /** Creates a platform with a long event history. */
    public PlatformStandin() {
        this(HISTORY_LIMIT);
    }

    /**
     * Creates a platform that keeps {@code historyLimit} events for watches.
     *
     * @param historyLimit events kept; an older watch gets 410
     */
    public PlatformStandin(int historyLimit) {
        mStore = new ObjectStore(historyLimit);
        Arrays.stream(CallKind.values()).forEach(kind -> mCalls.put(kind, new AtomicLong()));
    }

    /**
     * Fault switches as scripts post them to {@code /standin/faults}.
     *
     * @param outage how calls are answered; none if absent
     * @param slowMillis delay of each answer, in milliseconds
     * @param loseAnswers next writes that take effect but lose their answer
     * @param compact whether to drop the event history now
     */
    public record Faults(Outage outage, long slowMillis, int loseAnswers, boolean compact) {}

    private record Value(String value) {}

    private record HostsBody(List<ListedHost> hosts, long lagMillis) {}

    /** Starts listening; {@code port} 0 takes any. */
    public void start(int port) {
        mServer.start(port);
    }

    /** Returns the port it listens on. */
    public int port() {
        return mServer.port();
    }

    @Override
    public void close() {
        mServer.stop();
    }

    /** Answers calls from now on as {@code outage} says. */
    public void outage(Outage outage) {
        mOutage = outage;
    }

    /** Delays every answer by {@code millis}. */
    public void delayResponses(long millis) {
        mSlowMillis = millis;
    }

    /** Makes the next {@code writes} take effect and lose their answer. */
    public void loseResponses(int writes) {
        mLoseAnswers.set(writes);
    }

    /** Drops the event history, so that watches from older revisions get 410. */
    public void compact() {
        mStore.compact();
    }

    /** Sets the host list, seen by callers {@code lagMillis} later. */
    public void hosts(List<ListedHost> hosts, long lagMillis) {
        mHosts.set(hosts, lagMillis);
    }

    /** Returns the calls counted of a kind; a waiting watch counts once. */
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
                .build((ctx, req) -> Answers.withBody(ctx, Faults.class, this::apply));
        builder.route()
                .post("/standin/hosts")
                .build((ctx, req) -> Answers.withBody(ctx, HostsBody.class, this::apply));
        builder.route().get("/standin/calls").build((ctx, req) -> Answers.ok(mCalls));
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
        Supplier<HttpResponse> answer = () -> mOutage.answer(() -> handler.apply(ctx));
        long slowMillis = mSlowMillis;
        return slowMillis == 0
                ? answer.get()
                : HttpResponse.delayed(answer, Duration.ofMillis(slowMillis), ctx.eventLoop());
    }

    private HttpResponse apply(Faults faults) {
        outage(faults.outage() == null ? Outage.NONE : faults.outage());
        delayResponses(faults.slowMillis());
        loseResponses(faults.loseAnswers());
        if (faults.compact()) {
            compact();
        }
        return Answers.ok(faults);
    }

    private HttpResponse apply(HostsBody body) {
        hosts(body.hosts(), body.lagMillis());
        return Answers.ok(Map.of("hosts", body.hosts().size()));
    }

    private HttpResponse list(ServiceRequestContext ctx) {
        return Answers.ok(mStore.list(ctx.queryParams().get("prefix", "")));
    }

    private HttpResponse read(ServiceRequestContext ctx) {
        String key = ctx.pathParam("key");
        return mStore.read(key)
                .map(Answers::ok)
                .orElseGet(
                        () -> Answers.error(HttpStatus.NOT_FOUND, "not-found", "no object " + key));
    }

    private HttpResponse put(ServiceRequestContext ctx) {
        long expected = expectedVersion(ctx);
        if (expected == NO_VERSION) {
            return missingCondition();
        }
        String key = ctx.pathParam("key");
        return Answers.withBody(
                ctx, Value.class, body -> written(ctx, mStore.put(key, body.value(), expected)));
    }

    private HttpResponse delete(ServiceRequestContext ctx) {
        long expected = expectedVersion(ctx);
        if (expected <= 0) {
            return missingCondition();
        }
        return written(ctx, mStore.delete(ctx.pathParam("key"), expected));
    }

    private HttpResponse written(ServiceRequestContext ctx, ObjectStore.WriteResult result) {
        if (mLoseAnswers.getAndUpdate(n -> Math.max(0, n - 1)) > 0) {
            return Answers.dropConnection(ctx);
        }
        if (result.done()) {
            return Answers.ok(Map.of("version", result.version()));
        }
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("reason", "conflict");
        result.found().ifPresent(found -> body.put("version", found.version()));
        result.found().ifPresent(found -> body.put("value", found.value()));
        return Answers.of(HttpStatus.CONFLICT, body);
    }

    private HttpResponse watch(ServiceRequestContext ctx) {
        String prefix = ctx.queryParams().get("prefix", "");
        long after = ctx.queryParams().getLong("after", 0);
        long waitMillis = Math.min(MAX_WAIT_MILLIS, ctx.queryParams().getLong("waitMillis", 0));
        return mStore.watch(prefix, after)
                .map(answer -> waiting(ctx, answer, waitMillis))
                .orElseGet(
                        () ->
                                Answers.error(
                                        HttpStatus.GONE, "compacted", "list the objects again"));
    }

    private HttpResponse waiting(
            ServiceRequestContext ctx,
            CompletableFuture<ObjectStore.WatchAnswer> answer,
            long waitMillis) {
        ctx.eventLoop().schedule(() -> mStore.endWatch(answer), waitMillis, TimeUnit.MILLISECONDS);
        return HttpResponse.of(answer.thenApply(Answers::ok));
    }

    private HttpResponse hostList(ServiceRequestContext ctx) {
        return Answers.ok(Map.of("hosts", mHosts.visible()));
    }

    private static HttpResponse missingCondition() {
        return Answers.error(
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
