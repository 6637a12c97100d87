package org.cyclamenpaddle.standins.engine;

import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.server.ServerBuilder;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import org.cyclamenpaddle.standins.http.Answers;
import org.cyclamenpaddle.standins.http.SilencedConnections;
import org.cyclamenpaddle.standins.http.StandinServer;

/** Engine stand-in: {@link EngineModel} behind the engine protocol, with fault switches. */
public final class EngineStandin implements AutoCloseable {

    private static final int CRASH_EXIT_CODE = 1;
    private static final long NO_RESTART = -1;

    private final EngineSettings mSettings;
    private final ScheduledExecutorService mExecutor =
            Executors.newSingleThreadScheduledExecutor(EngineStandin::daemon);
    private final HttpKvFetcher mFetcher = new HttpKvFetcher(mExecutor);
    private final EngineCounters mCounters = new EngineCounters();
    private final SilencedConnections mSilenced = new SilencedConnections();
    private final Set<EventStream> mStreams = ConcurrentHashMap.newKeySet();
    private final AtomicInteger mLoseCancels = new AtomicInteger();
    private final EngineRoutes mRoutes = new EngineRoutes(this);
    private final StandinServer mServer = new StandinServer(this::routes);
    private volatile long mRestartMillis = NO_RESTART;
    private ExecutorEngineTimer mTimer;
    private EngineModel mModel;

    /** Creates an engine of the given sizes and timing. */
    public EngineStandin(EngineSettings settings) {
        mSettings = settings;
        renew();
    }

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
        mExecutor.shutdownNow();
        mServer.stop();
    }

    /** Returns its sizes and timing. */
    public EngineSettings settings() {
        return mSettings;
    }

    /** Returns the memory pieces held by attempts. */
    public int heldPieces() {
        return ask(EngineModel::heldPieces).join();
    }

    /** Returns what it did since it was created, over crashes too. */
    public EngineCounts counts() {
        return mCounters.counts();
    }

    /** Makes the next {@code transfers} exports never move a byte. */
    public void stallTransfers(int transfers) {
        tell(model -> model.stallTransfers(transfers));
    }

    /** Silences for good the connections of all streams that are open now. */
    public void silenceStreams() {
        mStreams.forEach(stream -> mSilenced.silence(stream.context()));
    }

    /** Makes the next {@code cancels} have no effect and lose their connection. */
    public void loseCancels(int cancels) {
        mLoseCancels.set(cancels);
    }

    /** Refuses all new work as full, or stops doing so. */
    public void rejectNewWork(boolean refusing) {
        tell(model -> model.refuse(refusing));
    }

    /** Changes the age of the published load, in modelled milliseconds. */
    public void loadLag(long millis) {
        tell(model -> model.loadLag(millis));
    }

    /** Makes every later crash be followed by a restart after {@code millis}; -1 for none. */
    public void restartAfterCrash(long millis) {
        mRestartMillis = millis;
    }

    /** Drops all connections and state, as a crashed process does. */
    public void crash() {
        CompletableFuture.runAsync(this::crashNow, mExecutor).join();
    }

    /** Listens again, empty, on the same port after a crash. */
    public void restart() {
        mServer.restart();
    }

    SilencedConnections silenced() {
        return mSilenced;
    }

    AtomicInteger cancelsToLose() {
        return mLoseCancels;
    }

    /** Asks the model, on its own thread. */
    <T> CompletableFuture<T> ask(Function<EngineModel, T> question) {
        return CompletableFuture.supplyAsync(() -> question.apply(mModel), mExecutor);
    }

    /** Keeps a stream for {@link #silenceStreams} until it ends. */
    HttpResponse track(EventStream stream) {
        mStreams.add(stream);
        stream.response().whenComplete().handle((v, e) -> mStreams.remove(stream));
        return stream.response();
    }

    HttpResponse apply(EngineFaults faults) {
        faults.stallTransfers().ifPresent(this::stallTransfers);
        faults.loseCancels().ifPresent(this::loseCancels);
        faults.refuse().ifPresent(this::rejectNewWork);
        faults.loadLagMillis().ifPresent(this::loadLag);
        faults.restartMillis().ifPresent(this::restartAfterCrash);
        if (faults.silenceStreams()) {
            silenceStreams();
        }
        if (faults.crash()) {
            mExecutor.execute(this::crashNow);
        }
        return Answers.ok(faults);
    }

    private void routes(ServerBuilder builder) {
        mRoutes.add(builder);
    }

    private void tell(java.util.function.Consumer<EngineModel> order) {
        CompletableFuture.runAsync(() -> order.accept(mModel), mExecutor).join();
    }

    private void crashNow() {
        if (mSettings.haltOnCrash()) {
            Runtime.getRuntime().halt(CRASH_EXIT_CODE);
        }
        mCounters.crashed();
        mTimer.close();
        mServer.stop();
        mModel.lose();
        renew();
        long restartMillis = mRestartMillis;
        if (restartMillis >= 0) {
            mExecutor.schedule(mServer::restart, restartMillis, TimeUnit.MILLISECONDS);
        }
    }

    private void renew() {
        mTimer = new ExecutorEngineTimer(mExecutor, mSettings.speed());
        mModel = new EngineModel(mTimer, mSettings, mFetcher, mCounters, this::crashNow);
    }

    private static Thread daemon(Runnable task) {
        Thread thread = new Thread(task, "engine-standin");
        thread.setDaemon(true);
        return thread;
    }
}
