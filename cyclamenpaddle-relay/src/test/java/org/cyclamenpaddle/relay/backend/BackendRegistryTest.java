package org.cyclamenpaddle.relay.backend;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.id.FailureDomain;
import org.cyclamenpaddle.core.id.SoftwareVersion;
import org.cyclamenpaddle.routing.silence.OtherServers;
import org.cyclamenpaddle.routing.stream.StreamBinding;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the selection of backend servers and how send outcomes affect it. */
public class BackendRegistryTest {

    private static final WorkSize SIZE = new WorkSize(5_000, 800);
    private static final long SILENT_MILLIS = 500;

    private BackendRegistry mRegistry;

    @BeforeMethod
    public void createRegistry() {
        mRegistry = new BackendRegistry(new FailureDomain("a"), CostSettings.DEFAULTS, () -> 0.5);
    }

    private void list(Backend... backends) {
        Map<BackendId, Backend> entries = new HashMap<>();
        Stream.of(backends).forEach(backend -> entries.put(backend.id(), backend));
        mRegistry.applyListing(entries, 0);
    }

    private Optional<Backend> select(long nowMillis) {
        return mRegistry.select(BackendQuery.of(Backends.SERVICE, SIZE), nowMillis);
    }

    private void recordOutcome(Backend backend, SendOutcome outcome, long nowMillis) {
        mRegistry.recordOutcome(backend, SIZE, false, outcome, nowMillis);
    }

    @Test
    public void ownDomainIsPreferredUntilItsLoadOutweighsCrossDomainCost() {
        Backend near = Backends.decode("near", "a");
        Backend far = Backends.decode("far", "b");
        list(near, far);
        assertEquals(select(0), Optional.of(near));
        assertEquals(select(0), Optional.of(far));
    }

    private Optional<Backend> select(String version, long nowMillis) {
        return mRegistry.select(bound(version), nowMillis);
    }

    private static BackendQuery bound(String version) {
        return new BackendQuery(
                Backends.SERVICE, SIZE, Set.of(), StreamBinding.to(new SoftwareVersion(version)));
    }

    /** All servers of a version are ejected, and a stream goes to one of another version. */
    @Test
    public void ejectedServersOfAVersionAreNotReplacedByThoseOfAnother() {
        Backend bound = Backends.ofVersion("i-1", "v1");
        list(bound, Backends.ofVersion("i-2", "v2"));
        recordOutcome(bound, SendOutcome.UNKNOWN, 10);
        recordOutcome(bound, SendOutcome.UNKNOWN, 11);
        assertEquals(select("v1", 12), Optional.of(bound));
        assertEquals(select("v3", 12), Optional.empty());
        assertFalse(mRegistry.mayServe(bound("v3"), 12));
        assertTrue(mRegistry.mayServe(bound("v1"), 12));
    }

    /** New streams fill the only server of a version while a stream that needs it waits. */
    @Test
    public void newStreamsLeaveAServerToAStreamThatWaitsForItsVersion() {
        Backend awaited = Backends.ofVersion("i-1", "v1");
        Backend other = Backends.ofVersion("i-2", "v2");
        list(awaited, other);
        mRegistry.recordWaiting(bound("v1"));
        for (int i = 0; i < 20; i++) {
            assertEquals(select(i), Optional.of(other));
        }
        assertEquals(select("v1", 20), Optional.of(awaited));
        mRegistry.recordFull(other, 21);
        assertEquals(select(22), Optional.of(awaited), "new streams starve");
        mRegistry.recordWaitEnded(bound("v1"));
        assertEquals(select(100), Optional.of(awaited));
    }

    /**
     * A server becomes unreachable. Later requests must not each wait for it again: it is ejected,
     * then receives one probe request, and further requests only after the probe has succeeded.
     */
    @Test
    public void unreachableServerIsEjectedThenProbedOnce() {
        Backend unreachable = Backends.decode("bad", "a");
        Backend reachable = Backends.decode("good", "b");
        list(unreachable, reachable);
        assertEquals(select(0), Optional.of(unreachable));
        recordOutcome(unreachable, SendOutcome.NOT_SENT, 10);
        assertEquals(select(20), Optional.of(reachable));
        long later = 10 + BackendHealth.BASE_EJECTION_MILLIS;
        recordOutcome(reachable, SendOutcome.SUCCEEDED, 30);
        assertEquals(select(later), Optional.of(reachable), "its failure still raises its cost");
        long muchLater = later + 30_000;
        assertEquals(select(muchLater), Optional.of(unreachable));
        assertEquals(select(muchLater), Optional.of(reachable), "one probe at a time");
        recordOutcome(unreachable, SendOutcome.SUCCEEDED, muchLater + 10);
        assertEquals(select(muchLater + 20), Optional.of(unreachable));
    }

    /**
     * A route's timeout is shorter than its calls take, so that all of them time out. The servers
     * are healthy and must stay available to other routes; only consecutive timeouts without a
     * response in between eject a server.
     */
    @Test
    public void singleTimeoutDoesNotEjectServer() {
        Backend near = Backends.decode("near", "a");
        Backend far = Backends.decode("far", "b");
        list(near, far);
        for (int i = 0; i < 5; i++) {
            assertEquals(select(i * 100), Optional.of(near));
            recordOutcome(near, SendOutcome.SILENT, i * 100 + 10);
            assertEquals(select(i * 100 + 20), Optional.of(near));
            recordOutcome(near, SendOutcome.SUCCEEDED, i * 100 + 30);
        }
        select(1_000);
        recordOutcome(near, SendOutcome.SILENT, 1_010);
        select(1_020);
        recordOutcome(near, SendOutcome.SILENT, 1_030);
        assertEquals(select(1_040), Optional.of(far));
    }

    /**
     * An engine has restarted after a crash with another stage, which its entry does not show yet,
     * and rejects the request. Later requests must avoid it, although it is the nearest, until its
     * entry changes or the exclusion expires.
     */
    @Test
    public void serverThatDeniesItsEntryIsLeftOutUntilTheEntryChanges() {
        Backend restarted = Backends.decode("reborn", "a");
        Backend other = Backends.decode("other", "b");
        list(restarted, other);
        assertEquals(select(0), Optional.of(restarted));
        recordOutcome(restarted, SendOutcome.MISDIRECTED, 10);
        for (int i = 0; i < 10; i++) {
            assertEquals(select(20 + i), Optional.of(other));
        }
        Backend corrected = Backends.of("reborn", "a", BackendStage.DECODE, 2, false);
        mRegistry.applyChange(corrected.id(), Optional.of(corrected), 1_000);
        assertEquals(select(1_010), Optional.of(corrected));
        recordOutcome(corrected, SendOutcome.MISDIRECTED, 1_020);
        assertEquals(select(1_030), Optional.of(other));
        long later = 1_020 + BackendState.OUTDATED_MILLIS;
        assertEquals(select(later), Optional.of(corrected));
    }

    /** Responses to other requests distinguish a busy engine from an unreachable one. */
    @Test
    public void responsesToOtherRequestsShowThatServerIsAlive() {
        Backend busy = Backends.decode("busy", "a");
        list(busy);
        assertFalse(mRegistry.voice(busy).heardSince(0));
        mRegistry.recordFirstByte(busy, SIZE, 40, 100);
        assertTrue(mRegistry.voice(busy).heardSince(100));
        assertFalse(mRegistry.voice(busy).heardSince(101));
    }

    /**
     * All servers of a service appear to have failed, usually because this host's own links have.
     */
    @Test
    public void lastServerOfServiceIsNeverEjected() {
        Backend only = Backends.decode("only", "a");
        list(only);
        select(0);
        recordOutcome(only, SendOutcome.UNKNOWN, 10);
        assertEquals(select(20), Optional.of(only));
    }

    @Test
    public void drainingServerGetsNoNewRequests() {
        Backend active = Backends.decode("stays", "b");
        list(Backends.of("leaves", "a", BackendStage.DECODE, 1, true), active);
        assertEquals(select(0), Optional.of(active));
        list(Backends.of("leaves", "a", BackendStage.DECODE, 1, true));
        assertTrue(select(0).isEmpty() || !select(0).get().id().value().equals("leaves"));
    }

    /**
     * The store was unavailable and all entries expired in that time. Until they return, the
     * servers known before still receive requests; a server whose entry is missing while others
     * exist receives none.
     */
    @Test
    public void lapsedEntriesAreUsedWhileNoOtherExists() {
        Backend first = Backends.decode("first", "a");
        Backend second = Backends.decode("second", "b");
        list(first, second);
        mRegistry.recordStoreOutage(20);
        mRegistry.recordStoreReturn(90);
        mRegistry.applyChange(first.id(), Optional.empty(), 100);
        assertEquals(select(110), Optional.of(second));
        mRegistry.applyChange(second.id(), Optional.empty(), 120);
        assertTrue(select(130).isPresent());
        assertTrue(select(89 + BackendDirectory.LAPSED_RETENTION_MILLIS).isPresent());
        assertTrue(select(90 + BackendDirectory.LAPSED_RETENTION_MILLIS).isEmpty());
    }

    /**
     * Failure: a server that is removed while the store is available gets requests because its
     * service has no other one.
     */
    @Test
    public void removedServerIsNotUsedAlthoughNoOtherExists() {
        Backend only = Backends.decode("only", "a");
        list(only);
        mRegistry.applyChange(only.id(), Optional.empty(), 100);
        assertTrue(select(100).isEmpty());
        list(only);
        mRegistry.recordStoreReturn(200);
        assertTrue(select(199 + BackendDirectory.LAPSED_RETENTION_MILLIS).isPresent());
        mRegistry.applyChange(
                only.id(), Optional.empty(), 200 + BackendDirectory.LAPSED_RETENTION_MILLIS);
        assertTrue(select(200 + BackendDirectory.LAPSED_RETENTION_MILLIS).isEmpty());
    }

    /** Failure: entries that lapsed are given up because the store is away once more. */
    @Test
    public void lapsedEntriesAreUsedThroughASecondOutage() {
        Backend only = Backends.decode("only", "a");
        list(only);
        mRegistry.recordStoreReturn(0);
        mRegistry.applyChange(only.id(), Optional.empty(), 10);
        mRegistry.recordStoreOutage(1_000);
        assertTrue(select(1_000 + 2 * BackendDirectory.LAPSED_RETENTION_MILLIS).isPresent());
        mRegistry.recordStoreReturn(9_000);
        assertTrue(select(8_999 + BackendDirectory.LAPSED_RETENTION_MILLIS).isPresent());
        assertTrue(select(9_000 + BackendDirectory.LAPSED_RETENTION_MILLIS).isEmpty());
    }

    /** Failure: entries that were removed while this host had lost the store are used. */
    @Test
    public void removedServerIsNotUsedAfterAnOutageOfThisHostAlone() {
        Backend only = Backends.decode("only", "a");
        list(only);
        mRegistry.recordStoreReturn(0);
        mRegistry.applyChange(only.id(), Optional.empty(), 10);
        assertTrue(select(20).isPresent());
        mRegistry.recordOwnOutage();
        assertTrue(select(30).isEmpty());
    }

    /**
     * Failure: a request that was placed earlier is sent to a server that has left, been removed or
     * replaced since. Every send, second send, resumption and reservation asks first.
     */
    @Test
    public void serverAcceptsNoFurtherWorkOnceItLeaves() {
        Backend known = Backends.decode("one", "a");
        list(known);
        assertTrue(mRegistry.directives().acceptsWork(known, 0));
        assertTrue(mRegistry.directives().tryCall(known, 1, 0));
        list(Backends.of("one", "a", BackendStage.DECODE, 1, true));
        assertFalse(mRegistry.directives().acceptsWork(known, 10));
        assertFalse(mRegistry.directives().tryCall(known, 1, 10));
        list(known);
        assertTrue(mRegistry.directives().acceptsWork(known, 20));
        mRegistry.applyChange(known.id(), Optional.empty(), 30);
        assertFalse(mRegistry.directives().acceptsWork(known, 30));
        list(Backends.of("one", "a", BackendStage.DECODE, 2, false));
        assertFalse(mRegistry.directives().acceptsWork(known, 40));
        assertTrue(mRegistry.directives().acceptsRelease(known, 40));
    }

    @Test
    public void restartedServerStartsWithoutHistory() {
        Backend old = Backends.decode("one", "a");
        Backend other = Backends.decode("two", "b");
        list(old, other);
        select(0);
        recordOutcome(old, SendOutcome.UNKNOWN, 10);
        Backend restarted = Backends.of("one", "a", BackendStage.DECODE, 2, false);
        mRegistry.applyChange(restarted.id(), Optional.of(restarted), 20);
        assertEquals(select(30), Optional.of(restarted));
    }

    @Test
    public void promptIsSentToIdlePrefillEngine() {
        Backend decodeEngine = Backends.decode("decode", "a");
        Backend prefillEngine = Backends.of("prefill", "a", BackendStage.PREFILL, 1, false);
        list(decodeEngine, prefillEngine);
        assertEquals(
                select(0), Optional.of(decodeEngine), "a prefill engine does not run requests");
        assertEquals(
                mRegistry.selectPrefillEngine(decodeEngine, SIZE, 0), Optional.of(prefillEngine));
        assertEquals(
                mRegistry.selectPrefillEngine(decodeEngine, WorkSize.PLAIN, 0), Optional.empty());
    }

    @Test
    public void prefillIsLocalWhenPrefillEnginesAreBusy() {
        Backend decodeEngine = Backends.decode("decode", "a");
        Backend prefillEngine = Backends.of("prefill", "a", BackendStage.PREFILL, 1, false);
        list(decodeEngine, prefillEngine);
        select(0);
        assertTrue(mRegistry.selectPrefillEngine(decodeEngine, SIZE, 0).isPresent());
        Optional<Backend> third = mRegistry.selectPrefillEngine(decodeEngine, SIZE, 0);
        assertFalse(
                third.isPresent(), "two prompts are queued there and none at the decode engine");
    }

    /**
     * A failure domain is cut off. After two of its servers were unreachable, the others are not
     * tried one by one; one request per second probes the domain, and a response readmits it.
     */
    @Test
    public void unreachableDomainIsEjectedAsOne() {
        Backend one = Backends.decode("one", "a");
        Backend two = Backends.decode("two", "a");
        Backend three = Backends.decode("three", "a");
        Backend far = Backends.decode("far", "b");
        list(one, two, three, far);
        Backend first = select(0).orElseThrow();
        Backend second = select(0).orElseThrow();
        recordOutcome(first, SendOutcome.NOT_SENT, 300);
        recordOutcome(second, SendOutcome.NOT_SENT, 300);
        assertEquals(select(310), Optional.of(far));
        assertEquals(select(310), Optional.of(far));
        long probeTime = 300 + DomainConnectivity.PROBE_INTERVAL_MILLIS;
        Backend probed = select(probeTime).orElseThrow();
        assertEquals(probed.domain().value(), "a");
        assertEquals(select(probeTime + 1), Optional.of(far));
        recordOutcome(probed, SendOutcome.SUCCEEDED, probeTime + 20);
        assertEquals(select(probeTime + 30), Optional.of(probed));
    }

    /**
     * Most engines of a large deployment are full. Selected by distance alone, the few in the own
     * failure domain are tried again and again, and those with free capacity in other domains
     * never.
     */
    @Test
    public void enginesFullLongestAgoAreTriedFirst() {
        Backend near = Backends.decode("near", "a");
        Backend far = Backends.decode("far", "b");
        list(near, far);
        mRegistry.recordFull(near, 0);
        long notFull = BackendState.FULL_MILLIS;
        assertEquals(select(notFull), Optional.of(far));
        recordOutcome(far, SendOutcome.ABANDONED, notFull);
        mRegistry.recordFull(far, notFull);
        assertEquals(select(2 * notFull), Optional.of(near));
        recordOutcome(near, SendOutcome.ABANDONED, 2 * notFull);
        assertEquals(
                select(BackendState.FULL_DECAY_MILLIS), Optional.of(near), "penalty has decayed");
    }

    @Test
    public void fullEngineIsNotRetriedImmediately() {
        Backend decodeEngine = Backends.decode("decode", "a");
        list(decodeEngine);
        mRegistry.recordFull(decodeEngine, 0);
        assertTrue(select(BackendState.FULL_MILLIS - 1).isEmpty());
        assertTrue(select(BackendState.FULL_MILLIS).isPresent());
    }

    /**
     * Prompts queue at the prefill engine. A local prefill at the decode engine would start sooner,
     * but would delay all ten streams that run there.
     */
    @Test
    public void prefillIsNotLocalWhereItWouldDelayRunningStreams() {
        Backend decodeEngine = Backends.decode("run", "a");
        Backend prefillEngine = Backends.of("prefill", "a", BackendStage.PREFILL, 1, false);
        list(decodeEngine, prefillEngine);
        IntStream.range(0, 3).forEach(i -> mRegistry.recordResend(prefillEngine, SIZE, 0));
        select(0);
        mRegistry.recordReport(decodeEngine, reportWith(10), 0);
        assertEquals(
                mRegistry.selectPrefillEngine(decodeEngine, SIZE, 0), Optional.of(prefillEngine));
    }

    /** The same queue, with no stream at the decode engine that a local prefill would delay. */
    @Test
    public void prefillIsLocalWhereNoStreamIsRunning() {
        Backend decodeEngine = Backends.decode("run", "a");
        Backend prefillEngine = Backends.of("prefill", "a", BackendStage.PREFILL, 1, false);
        list(decodeEngine, prefillEngine);
        IntStream.range(0, 3).forEach(i -> mRegistry.recordResend(prefillEngine, SIZE, 0));
        select(0);
        mRegistry.recordReport(decodeEngine, reportWith(0), 0);
        assertEquals(mRegistry.selectPrefillEngine(decodeEngine, SIZE, 0), Optional.empty());
    }

    /** Hosts with many concurrent requests share one fetch of an engine's report. */
    @Test
    public void reportIsFetchedOncePerInterval() {
        Backend engine = Backends.decode("run", "a");
        list(engine);
        assertTrue(mRegistry.reportDue(engine, 0));
        assertFalse(mRegistry.reportDue(engine, BackendState.REPORT_INTERVAL_MILLIS - 1));
        assertTrue(mRegistry.reportDue(engine, BackendState.REPORT_INTERVAL_MILLIS));
        mRegistry.recordReport(engine, reportWith(1), 500);
        assertTrue(mRegistry.report(engine, 501).isPresent());
        assertTrue(mRegistry.report(engine, 500 + BackendState.REPORT_MAX_AGE_MILLIS).isEmpty());
    }

    private static EngineReport reportWith(int runs) {
        return new EngineReport(
                0,
                false,
                IntStream.range(0, runs)
                        .mapToObj(
                                i ->
                                        new EngineReport.Generation(
                                                "q" + i, 6_000, 10, OptionalInt.empty()))
                        .toList());
    }

    private OtherServers otherServers(Set<BackendId> avoid, long nowMillis) {
        return mRegistry.otherServers(
                new BackendQuery(Backends.SERVICE, SIZE, avoid, StreamBinding.ANY),
                SILENT_MILLIS,
                nowMillis);
    }

    /**
     * A server with work that sends nothing counts as available, or one that has just got its first
     * work, or responds to other requests, counts as silent.
     */
    @Test
    public void serverIsSilentFromItsWorkOrItsLastResponse() {
        Backend server = Backends.decode("i-1", "a");
        list(server);
        assertEquals(otherServers(Set.of(), 9_000), OtherServers.UNTRIED, "idle");
        select(10_000);
        assertEquals(otherServers(Set.of(), 10_499), OtherServers.AWAITED);
        assertEquals(otherServers(Set.of(), 10_500), OtherServers.SILENT);
        assertEquals(
                mRegistry.silentServers(Backends.SERVICE, SILENT_MILLIS, 10_500),
                Set.of(server.id()));
        select(10_500);
        assertEquals(otherServers(Set.of(), 10_600), OtherServers.SILENT, "new work on it");
        assertEquals(
                mRegistry.unheardServers(Backends.SERVICE, SILENT_MILLIS, 10_600),
                Set.of(server.id()));
        mRegistry.recordHeard(server, 10_700);
        assertEquals(mRegistry.unheardServers(Backends.SERVICE, SILENT_MILLIS, 11_199), Set.of());
        assertEquals(otherServers(Set.of(), 11_199), OtherServers.AVAILABLE);
        assertEquals(otherServers(Set.of(), 11_200), OtherServers.SILENT);
        recordOutcome(server, SendOutcome.SUCCEEDED, 11_300);
        recordOutcome(server, SendOutcome.SUCCEEDED, 11_300);
        assertEquals(otherServers(Set.of(), 20_000), OtherServers.UNTRIED, "without work");
        assertEquals(mRegistry.silentServers(Backends.SERVICE, SILENT_MILLIS, 20_000), Set.of());
    }

    /** The silent server itself, a prefill engine or another version counts as another server. */
    @Test
    public void onlyServersThatCouldRunTheRequestAreOthers() {
        Backend server = Backends.ofVersion("i-1", "v1");
        list(
                server,
                Backends.ofVersion("i-2", "v2"),
                Backends.of("i-3", "a", BackendStage.PREFILL, 1, false),
                Backends.of("i-4", "a", BackendStage.DECODE, 1, true));
        assertEquals(otherServers(Set.of(server.id(), new BackendId("i-2")), 0), OtherServers.NONE);
        assertEquals(otherServers(Set.of(server.id()), 0), OtherServers.UNTRIED);
        assertEquals(
                mRegistry.otherServers(
                        new BackendQuery(
                                Backends.SERVICE,
                                SIZE,
                                Set.of(server.id()),
                                StreamBinding.to(new SoftwareVersion("v1"))),
                        SILENT_MILLIS,
                        0),
                OtherServers.NONE);
    }

    /** Requests go on being sent to a silent server, or its first byte does not bring it back. */
    @Test
    public void silentServerIsEjectedUntilItIsHeard() {
        Backend silent = Backends.decode("near", "a");
        Backend other = Backends.decode("far", "b");
        list(silent, other);
        assertEquals(select(0), Optional.of(silent));
        assertFalse(mRegistry.recordSilence(silent, SILENT_MILLIS, 1_000), "one request only");
        assertTrue(mRegistry.recordSilence(silent, SILENT_MILLIS, 1_001));
        assertEquals(select(1_002), Optional.of(other));
        assertEquals(select(1_003), Optional.of(other));
        mRegistry.recordHeard(silent, 1_004);
        assertEquals(select(1_005), Optional.of(silent));
    }

    /** A request that waits long ejects a server that responds to others. */
    @Test
    public void serverThatRespondsToOthersIsNotEjectedForSilence() {
        Backend server = Backends.decode("near", "a");
        Backend loaded = Backends.decode("far", "b");
        list(server, loaded);
        IntStream.range(0, 3).forEach(i -> mRegistry.recordResend(loaded, SIZE, 0));
        select(0);
        mRegistry.recordHeard(server, 800);
        assertFalse(mRegistry.recordSilence(server, SILENT_MILLIS, 1_000));
        assertFalse(mRegistry.recordSilence(server, SILENT_MILLIS, 1_001));
        assertEquals(select(1_002), Optional.of(server));
    }
}
