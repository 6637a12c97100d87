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
import org.cyclamenpaddle.standins.http.JsonResponses;
import org.cyclamenpaddle.standins.http.SilencedConnections;
import org.cyclamenpaddle.standins.http.StandinServer;

/**
 * Simulated engine that serves {@link EngineModel} over the engine protocol, with fault switches.
 */
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
    private final AtomicInteger mCancelsToLose = new AtomicInteger();
    private final EngineRoutes mRoutes = new EngineRoutes(this);
    private final StandinServer mServer = new StandinServer(this::routes);
    private volatile long mRestartMillis = NO_RESTART;
    private ExecutorEngineTimer mTimer;
    private EngineModel mModel;

    /** Creates an engine with the given sizes and timing. */
    public EngineStandin(EngineSettings settings) {
        mSettings = settings;
        reset();
    }

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
        mExecutor.shutdownNow();
        mServer.stop();
    }

    /** Returns the sizes and timing. */
    public EngineSettings settings() {
        return mSettings;
    }

    /** Returns the KV cache blocks allocated to attempts. */
    public int heldPieces() {
        return call(EngineModel::heldPieces).join();
    }

    /** Returns the counters since creation; crashes do not reset them. */
    public EngineCounts counts() {
        return mCounters.counts();
    }

    /** Makes the next {@code transfers} exports stall without transferring any bytes. */
    public void stallTransfers(int transfers) {
        execute(model -> model.stallTransfers(transfers));
    }

    /** Permanently stops traffic on the connections of all currently open streams. */
    public void silenceStreams() {
        mStreams.forEach(stream -> mSilenced.silence(stream.context()));
    }

    /** Makes the next {@code cancels} cancel requests have no effect and drop their connection. */
    public void loseCancels(int cancels) {
        mCancelsToLose.set(cancels);
    }

    /** Sets whether all new work is rejected as full. */
    public void rejectNewWork(boolean rejecting) {
        execute(model -> model.rejectNewWork(rejecting));
    }

    /** Sets the delay of the published load, in modelled milliseconds. */
    public void loadLag(long millis) {
        execute(model -> model.loadLag(millis));
    }

    /** Sets the delay of the restart after each later crash, in milliseconds; -1 for no restart. */
    public void restartAfterCrash(long millis) {
        mRestartMillis = millis;
    }

    /** Drops all connections and state, like the crash of a process. */
    public void crash() {
        CompletableFuture.runAsync(this::crashNow, mExecutor).join();
    }

    /** Starts listening again on the same port after a crash, without any state. */
    public void restart() {
        mServer.restart();
    }

    SilencedConnections silenced() {
        return mSilenced;
    }

    AtomicInteger cancelsToLose() {
        return mCancelsToLose;
    }

    /** Applies a function to the model on the model's thread. */
    <T> CompletableFuture<T> call(Function<EngineModel, T> function) {
        return CompletableFuture.supplyAsync(() -> function.apply(mModel), mExecutor);
    }

    /** Tracks a stream for {@link #silenceStreams} until it ends. */
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
        return JsonResponses.ok(faults);
    }

    private void routes(ServerBuilder builder) {
        mRoutes.add(builder);
    }

    private void execute(java.util.function.Consumer<EngineModel> action) {
        CompletableFuture.runAsync(() -> action.accept(mModel), mExecutor).join();
    }

    private void crashNow() {
        if (mSettings.haltOnCrash()) {
            Runtime.getRuntime().halt(CRASH_EXIT_CODE);
        }
        mCounters.crashed();
        mTimer.close();
        mServer.stop();
        mModel.discard();
        reset();
        long restartMillis = mRestartMillis;
        if (restartMillis >= 0) {
            mExecutor.schedule(mServer::restart, restartMillis, TimeUnit.MILLISECONDS);
        }
    }

    private void reset() {
        mTimer = new ExecutorEngineTimer(mExecutor, mSettings.speed());
        mModel = new EngineModel(mTimer, mSettings, mFetcher, mCounters, this::crashNow);
    }

    private static Thread daemon(Runnable task) {
        Thread thread = new Thread(task, "engine-standin");
        thread.setDaemon(true);
        return thread;
    }
}
