package org.cyclamenpaddle.routing.connectivity;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.id.ServiceName;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which faults count as a cut of this host, and when. */
public class BackendReachabilityTest {

    private static final ServiceName BOOK = new ServiceName("book");
    private static final ServiceName READ = new ServiceName("read");
    private static final long ROUND_MILLIS = 250;
    private static final long CHECK_MILLIS = 150;

    private final Set<BackendId> mChecked = new HashSet<>();
    private BackendReachability mState;
    private Map<ServiceName, List<CheckTarget>> mListed;
    private long mNow;
    private int mChecks;

    @BeforeMethod
    public void start() {
        mNow = 1_000;
        mChecks = 0;
        mChecked.clear();
        mState =
                new BackendReachability(
                        ReachabilitySettings.DEFAULTS, new Random(7)::nextDouble, mNow);
        mListed = Map.of(BOOK, targets("b", 4), READ, targets("e", 13));
    }

    /** The first server of each service is in the own failure domain. */
    private static List<CheckTarget> targets(String prefix, int count) {
        return IntStream.range(0, count)
                .mapToObj(i -> new CheckTarget(new BackendId(prefix + i), i == 0))
                .toList();
    }

    /** Runs rounds for a time; checks of servers for which {@code reached} holds are answered. */
    private void run(long millis, Predicate<BackendId> reached) {
        for (long end = mNow + millis; mNow < end; mNow += ROUND_MILLIS) {
            round(reached);
        }
    }

    private void round(Predicate<BackendId> reached) {
        List<BackendId> due = mState.dueChecks(mListed, mNow);
        while (!due.isEmpty()) {
            mChecks += due.size();
            mChecked.addAll(due);
            boolean anyFailed = !due.stream().allMatch(reached);
            mNow += anyFailed ? CHECK_MILLIS : 1;
            due.forEach(
                    server ->
                            mState.checked(
                                    server,
                                    reached.test(server)
                                            ? CheckResult.CONNECTED
                                            : CheckResult.FAILED,
                                    mNow));
            due = mState.dueChecks(mListed, mNow);
        }
    }

    /** A host without requests notices its cut only by its callers' first requests. */
    @Test
    public void quietHostNoticesItsCutInTime() {
        run(5_000, server -> true);
        long cut = mNow;
        while (!mState.isCutOff(BOOK) || !mState.isCutOff(READ)) {
            round(server -> false);
            mNow += ROUND_MILLIS;
        }
        assertTrue(mNow - cut < 3_000, "cut noticed after " + (mNow - cut));
        long healed = mNow;
        while (mState.isCutOff(BOOK) || mState.isCutOff(READ)) {
            round(server -> true);
            mNow += ROUND_MILLIS;
        }
        assertTrue(mNow - healed < 1_500, "end of the cut noticed after " + (mNow - healed));
    }

    /** Servers of one service that end together look like a cut from all services. */
    @Test
    public void endOfOneServiceIsNoCutFromTheOthers() {
        mState.requestFailed(BOOK, mNow);
        run(5_000, server -> server.value().startsWith("e"));
        assertTrue(mState.isCutOff(BOOK));
        assertFalse(mState.isCutOff(READ));
    }

    /** One dead server, or a few, make a host hand its requests over. */
    @Test
    public void singleDeadServersAreNoCut() {
        for (int i = 0; i < 20; i++) {
            mState.requestFailed(BOOK, mNow);
            run(1_000, server -> !Set.of("b1", "b2", "b3", "e1", "e2").contains(server.value()));
            assertFalse(mState.isCutOff(BOOK));
            assertFalse(mState.isCutOff(READ));
        }
    }

    /** A host of a failure domain that is cut off reaches the servers there. */
    @Test
    public void cutOfAFailureDomainIsNoCutOfItsHosts() {
        for (int i = 0; i < 20; i++) {
            mState.requestFailed(READ, mNow);
            run(1_000, server -> server.value().endsWith("0") && server.value().length() == 2);
            assertFalse(mState.isCutOff(READ));
        }
    }

    /** A host that was suspended sees all its checks time out. */
    @Test
    public void lateResultsOfASuspendedHostCountForNothing() {
        mState.requestFailed(READ, mNow);
        for (int i = 0; i < 20; i++) {
            mState.dueChecks(mListed, mNow)
                    .forEach(server -> mState.checked(server, CheckResult.INCONCLUSIVE, mNow));
            mNow += ROUND_MILLIS;
        }
        assertFalse(mState.isCutOff(READ));
    }

    /** Requests that fail all the time cause as many connections. */
    @Test
    public void checksAreFewWhateverFails() {
        for (int i = 0; i < 100; i++) {
            mState.requestFailed(BOOK, mNow);
            mState.requestFailed(READ, mNow);
            run(100, server -> true);
        }
        long seconds = (mNow - 1_000) / 1_000;
        assertTrue(mChecks <= 6 * seconds, mChecks + " checks in " + seconds + " s");
    }

    /** A request ends unserved because no check is made shortly after a successful one. */
    @Test
    public void requestThatReachesNoServerCausesChecksAtAnyTime() {
        mState.requestConnected(BOOK, mNow);
        mState.requestFailed(BOOK, mNow);
        round(server -> false);
        assertFalse(mState.isCutOff(BOOK) || mState.isUndecided(BOOK));
        mState.noneReached(BOOK);
        assertTrue(mState.isUndecided(BOOK));
        round(server -> false);
        assertTrue(mState.isCutOff(BOOK));
        assertFalse(mState.isUndecided(BOOK));
    }

    /** Requests whose servers have ended cause many connections, or a cut of a sound host. */
    @Test
    public void requestThatReachesNoServerCausesOneCheckBesideSoundServers() {
        for (int i = 0; i < 100; i++) {
            mState.noneReached(BOOK);
            mState.noneReached(BOOK);
            round(server -> true);
            assertFalse(mState.isCutOff(BOOK) || mState.isUndecided(BOOK));
        }
        assertEquals(mChecks, 100);
    }

    /** Checks of ended servers make a host count as cut off whose requests reach another one. */
    @Test
    public void connectionOfARequestRefutesEarlierChecks() {
        mState.noneReached(BOOK);
        mState.dueChecks(mListed, mNow)
                .forEach(server -> mState.checked(server, CheckResult.FAILED, mNow));
        List<BackendId> others = mState.dueChecks(mListed, mNow);
        assertEquals(others.size(), 3);
        mState.requestConnected(BOOK, mNow + 1);
        others.forEach(server -> mState.checked(server, CheckResult.FAILED, mNow + 2));
        assertFalse(mState.isCutOff(BOOK));
    }

    /** A cut causes connections to all servers, which are lost as well. */
    @Test
    public void checksAreFewDuringACutAndSpreadOverTheServers() {
        run(2_500, server -> false);
        mChecks = 0;
        mChecked.clear();
        run(20_000, server -> false);
        assertTrue(mChecks <= 7 * 20, mChecks + " checks in 20 s");
        assertTrue(mChecked.size() > 10, "servers checked: " + mChecked);
    }

    /** A new server of a service whose others are dead is not noticed. */
    @Test
    public void newServersAreCheckedToo() {
        mState.requestFailed(BOOK, mNow);
        run(5_000, server -> server.value().startsWith("e"));
        mListed = Map.of(BOOK, targets("n", 4), READ, targets("e", 13));
        round(server -> true);
        assertFalse(mState.isCutOff(BOOK));
    }

    /** A service whose servers are gone keeps causing checks of all others. */
    @Test
    public void endOfOneServiceCausesFewChecks() {
        mState.requestFailed(BOOK, mNow);
        run(2_000, server -> server.value().startsWith("e"));
        mChecks = 0;
        run(14_000, server -> server.value().startsWith("e"));
        // Two of the service in 0.7 s, each round delayed by a check that fails, and one of others.
        assertTrue(mChecks <= 2 * 20 + 10, mChecks + " checks in 14 s");
        assertFalse(mState.isCutOff(READ));
    }

    @Test
    public void onlyHostOfItsKindIsCutOffWithItsOnlyService() {
        mListed = Map.of(BOOK, targets("b", 1));
        mState.requestFailed(BOOK, mNow);
        run(1_000, server -> false);
        assertTrue(mState.isCutOff(BOOK));
        assertEquals(mState.cutOff(), Set.of(BOOK));
    }
}
