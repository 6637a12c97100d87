package org.cyclamenpaddle.router.configuration;

import io.vavr.control.Either;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.apache.commons.rng.UniformRandomProvider;
import org.cyclamenpaddle.core.config.ConfigurationObject;
import org.cyclamenpaddle.core.config.ObjectKey;
import org.cyclamenpaddle.core.config.ObjectKind;
import org.cyclamenpaddle.core.id.PresetName;
import org.cyclamenpaddle.core.message.ConfigurationRequest;
import org.cyclamenpaddle.core.message.ConfigurationResponse;
import org.cyclamenpaddle.core.message.HostRecord;
import org.cyclamenpaddle.core.message.PeerMessage;
import org.cyclamenpaddle.core.time.Clock;
import org.cyclamenpaddle.fleet.configuration.ConfigurationEffect;
import org.cyclamenpaddle.fleet.configuration.ConfigurationReplica;
import org.cyclamenpaddle.fleet.configuration.ConfigurationSync;
import org.cyclamenpaddle.fleet.configuration.ConfigurationSyncSettings;
import org.cyclamenpaddle.peer.net.PeerError;
import org.cyclamenpaddle.router.blackboard.Blackboard;
import org.cyclamenpaddle.router.blackboard.ConfigurationState;
import org.cyclamenpaddle.router.event.EventLog;
import org.cyclamenpaddle.router.event.LogEvent;
import org.cyclamenpaddle.router.worker.SerialExecutor;
import org.cyclamenpaddle.router.worker.Workers;
import org.cyclamenpaddle.store.codec.ConfigurationCodec;
import org.cyclamenpaddle.store.codec.ParsedConfiguration;
import org.cyclamenpaddle.store.http.PlatformError;
import org.cyclamenpaddle.store.objects.Listing;
import org.cyclamenpaddle.store.objects.ObjectStore;
import org.cyclamenpaddle.store.objects.StoredObject;
import org.cyclamenpaddle.store.objects.WatchResult;

/**
 * Performs the effects of {@link ConfigurationSync}, and publishes the applied configuration on the
 * blackboard.
 *
 * <p>All its events pass through one serial executor; readers access only the blackboard.
 */
public final class ConfigurationDriver {

    private static final long WATCH_TIMEOUT_MILLIS = 10_000;
    private static final long PEER_REQUEST_TIMEOUT_MILLIS = 500;

    private final ObjectStore mStore;
    private final ConfigurationCodec mCodec;
    private final Blackboard mBlackboard;
    private final Clock mClock;
    private final EventLog mLog;
    private final PlatformHealth mHealth;
    private final PeerRequester mPeers;
    private final Supplier<Collection<HostRecord>> mAlive;
    private final SerialExecutor mSerial;
    private final ConfigurationReplica mReplica = new ConfigurationReplica();
    private final ConfigurationSync mSync;
    private final Map<ObjectKey, String> mLastPresets = new HashMap<>();
    private final CompletableFuture<Void> mInitialized = new CompletableFuture<>();
    private long mGeneration;

    /**
     * Creates the driver.
     *
     * @param self this host
     * @param store the platform's object API
     * @param codec parses documents
     * @param blackboard receives the parsed configuration
     * @param runtime workers, clock, log and health
     * @param peers sends requests to peers
     * @param alive the hosts of the current view
     * @param random jitter
     */
    public ConfigurationDriver(
            HostRecord self,
            ObjectStore store,
            ConfigurationCodec codec,
            Blackboard blackboard,
            Runtime runtime,
            PeerRequester peers,
            Supplier<Collection<HostRecord>> alive,
            UniformRandomProvider random) {
        mStore = store;
        mCodec = codec;
        mBlackboard = blackboard;
        mClock = runtime.clock();
        mLog = runtime.log();
        mHealth = runtime.health();
        mPeers = peers;
        mAlive = alive;
        mSerial = new SerialExecutor(runtime.workers());
        mSync = new ConfigurationSync(self, mReplica, ConfigurationSyncSettings.DEFAULTS, random);
    }

    /**
     * Runtime services of the driver.
     *
     * @param workers worker pool
     * @param clock time in milliseconds
     * @param log events
     * @param health notified whether the platform responds
     */
    public record Runtime(Workers workers, Clock clock, EventLog log, PlatformHealth health) {}

    /** Advances the state machine to the current time and view of the hosts. */
    public void tick() {
        mSerial.execute(() -> perform(mSync.tick(mAlive.get(), mClock.millis())));
    }

    /** Completes once the configuration has been received from the platform or a peer. */
    public CompletableFuture<Void> initialized() {
        return mInitialized;
    }

    /** Requests the configuration from a host that is not yet known as a member. */
    public void requestAtStart(HostRecord peer) {
        mSerial.execute(
                () -> requestFromPeer(peer, new ConfigurationRequest(mReplica.knownVersions())));
    }

    /** Handles the digest in a peer's heartbeat. */
    public void onPeerDigest(HostRecord peer, long digest) {
        mSerial.execute(
                () -> {
                    if (digest == mReplica.digest()) {
                        confirmed();
                    }
                    perform(mSync.onPeerDigest(peer, digest, mClock.millis()));
                });
    }

    /** Responds to a peer's request. */
    public CompletableFuture<Optional<PeerMessage>> onPeerRequest(ConfigurationRequest request) {
        CompletableFuture<Optional<PeerMessage>> response = new CompletableFuture<>();
        mSerial.execute(
                () ->
                        response.complete(
                                mSync.onPeerRequest(request).stream()
                                        .filter(ConfigurationEffect.Respond.class::isInstance)
                                        .map(ConfigurationEffect.Respond.class::cast)
                                        .<PeerMessage>map(ConfigurationEffect.Respond::response)
                                        .findFirst()));
        return response;
    }

    /** Handles objects that a peer pushed. */
    public void onPeerPush(ConfigurationResponse response) {
        mSerial.execute(() -> perform(mSync.onPeerResponse(response)));
    }

    /**
     * Applies an object that this host has just written; completes when it is in force on this
     * host.
     */
    public CompletableFuture<Void> onWritten(ConfigurationObject object) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        mSerial.execute(
                () -> {
                    perform(mSync.onWritten(object));
                    done.complete(null);
                });
        return done;
    }

    /**
     * Returns the last document of a preset that this host knew, even if the preset has been
     * deleted since.
     */
    public CompletableFuture<Optional<String>> lastDocument(ObjectKey key) {
        CompletableFuture<Optional<String>> document = new CompletableFuture<>();
        mSerial.execute(() -> document.complete(Optional.ofNullable(mLastPresets.get(key))));
        return document;
    }

    private void perform(List<ConfigurationEffect> effects) {
        effects.forEach(this::perform);
    }

    private void perform(ConfigurationEffect effect) {
        if (effect instanceof ConfigurationEffect.ListPlatform) {
            list();
        } else if (effect instanceof ConfigurationEffect.StartWatch watch) {
            watch(watch.afterRevision());
        } else if (effect instanceof ConfigurationEffect.StopWatch) {
            mGeneration++;
        } else if (effect instanceof ConfigurationEffect.QueryPeer request) {
            requestFromPeer(request.peer(), request.request());
        } else if (effect instanceof ConfigurationEffect.Applied applied) {
            apply(applied.objects());
        }
    }

    private void list() {
        long generation = ++mGeneration;
        mStore.list(ObjectKey.PREFIX)
                .thenAccept(response -> runIfCurrent(generation, () -> listed(response)));
    }

    private void listed(Either<PlatformError, Listing> response) {
        response.peekLeft(this::platformFailed)
                .peek(
                        listing -> {
                            onPlatformResponse();
                            perform(
                                    mSync.onListing(
                                            listing.revision(), objects(listing.objects())));
                            mInitialized.complete(null);
                        });
    }

    private void watch(long afterRevision) {
        long generation = ++mGeneration;
        mStore.watch(ObjectKey.PREFIX, afterRevision, WATCH_TIMEOUT_MILLIS)
                .thenAccept(response -> runIfCurrent(generation, () -> watched(response)));
    }

    private void watched(Either<PlatformError, WatchResult> response) {
        response.peekLeft(this::platformFailed)
                .peek(
                        result -> {
                            onPlatformResponse();
                            perform(
                                    result instanceof WatchResult.Events events
                                            ? mSync.onEvents(
                                                    events.revision(), changed(events.events()))
                                            : mSync.onCompacted());
                        });
    }

    /** Runs work unless its listing or watch has been abandoned. */
    private void runIfCurrent(long generation, Runnable work) {
        mSerial.execute(
                () -> {
                    if (generation == mGeneration) {
                        work.run();
                    }
                });
    }

    private void platformFailed(PlatformError error) {
        mHealth.recordFailure(error);
        perform(mSync.onPlatformFailed(mClock.millis()));
    }

    private void onPlatformResponse() {
        mHealth.recordResponse();
        confirmed();
    }

    private void confirmed() {
        mBlackboard.configuration().write(cell -> cell.confirm(mClock.millis()));
    }

    private void requestFromPeer(HostRecord peer, ConfigurationRequest request) {
        mPeers.request(peer, request, PEER_REQUEST_TIMEOUT_MILLIS)
                .thenAccept(response -> mSerial.execute(() -> onPeerResponse(response)));
    }

    private void onPeerResponse(Either<PeerError, PeerMessage> response) {
        boolean usable = response.isRight() && response.get() instanceof ConfigurationResponse;
        perform(
                usable
                        ? mSync.onPeerResponse((ConfigurationResponse) response.get())
                        : mSync.onPeerFailed());
        if (usable) {
            mInitialized.complete(null);
        }
    }

    private void apply(List<ConfigurationObject> objects) {
        ParsedConfiguration parsed = mCodec.parse(mReplica.objects());
        long inForce = mReplica.inForceVersion();
        long digest = mReplica.digest();
        Optional<PresetName> previous = mBlackboard.view().inForce();
        long before = mBlackboard.configuration().read(ConfigurationState::inForceVersion);
        mBlackboard.configuration().write(cell -> cell.apply(parsed.view(), inForce, digest));
        objects.stream()
                .filter(object -> object.key().kind() == ObjectKind.PRESET)
                .forEach(
                        object ->
                                object.document()
                                        .ifPresent(text -> mLastPresets.put(object.key(), text)));
        objects.forEach(
                object ->
                        mLog.log(
                                LogEvent.CONFIGURATION_APPLIED,
                                object.key().path(),
                                object.version()));
        if (inForce > before) {
            mLog.log(
                    LogEvent.PRESET_IN_FORCE,
                    name(parsed.view().inForce()),
                    name(previous),
                    inForce);
        }
    }

    private static String name(Optional<PresetName> preset) {
        return preset.map(PresetName::value).orElse("none");
    }

    private static List<ConfigurationObject> objects(List<StoredObject> stored) {
        return stored.stream()
                .flatMap(
                        object ->
                                object(object.key(), object.version(), Optional.of(object.value())))
                .collect(Collectors.toList());
    }

    private static List<ConfigurationObject> changed(List<WatchResult.Event> events) {
        return events.stream()
                .flatMap(event -> object(event.key(), event.version(), event.value()))
                .collect(Collectors.toList());
    }

    private static Stream<ConfigurationObject> object(
            String path, long version, Optional<String> document) {
        return ObjectKey.fromPath(path).stream()
                .map(key -> new ConfigurationObject(key, version, document));
    }
}
