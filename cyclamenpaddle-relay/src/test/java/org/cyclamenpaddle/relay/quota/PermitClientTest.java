package org.cyclamenpaddle.relay.quota;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.id.FailureDomain;
import org.cyclamenpaddle.core.id.HostId;
import org.cyclamenpaddle.core.message.PermitRequest;
import org.cyclamenpaddle.core.message.PermitResponse;
import org.cyclamenpaddle.relay.settings.Endpoint;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which owner of a limit a host asks for permits. */
public class PermitClientTest {

    private static final PermitRequest REQUEST =
            new PermitRequest(new BackendId("booking-1"), 1, 1_400, 1);
    private static final PermitResponse GRANTED = new PermitResponse(true, 0);

    private final List<HostId> mAsked = new ArrayList<>();
    private final AtomicLong mMillis = new AtomicLong();
    private QuotaMembers mMembers;
    private Optional<PermitResponse> mResponse;
    private PermitClient mClient;

    /** Creates a client on a host that owns no part of the limit. */
    @BeforeMethod
    public void createClient() {
        mAsked.clear();
        mMillis.set(1_000);
        mResponse = Optional.of(GRANTED);
        List<PeerAddress> hosts = IntStream.range(0, 12).mapToObj(PermitClientTest::host).toList();
        mMembers =
                hosts.stream()
                        .map(self -> QuotaMembers.of(self, hosts))
                        .filter(view -> !view.owners("booking-1").contains(view.self()))
                        .findFirst()
                        .orElseThrow();
        mClient = client();
    }

    private PermitClient client() {
        return new PermitClient(
                () -> mMembers,
                new PermitLender(() -> mMembers, mMillis::get),
                (to, request) -> {
                    mAsked.add(to.incarnation().host());
                    return CompletableFuture.completedFuture(mResponse);
                },
                mMillis::get);
    }

    private static PeerAddress host(int number) {
        return new PeerAddress(
                new HostId("h-" + number),
                new FailureDomain("d-" + number % 3),
                new Endpoint("127.0.0.1", 7_000 + number));
    }

    private PermitResponse request() {
        return mClient.request(REQUEST).join();
    }

    @Test
    public void ownerIsAskedFirst() {
        assertEquals(request(), GRANTED);
        assertEquals(mAsked, mMembers.owners("booking-1").subList(0, 1));
    }

    /** A request waits for each of the silent owners again, while its caller waits. */
    @Test
    public void silentOwnersAreAskedOnceAndThenLeftOut() {
        mResponse = Optional.empty();
        assertFalse(request().granted());
        assertEquals(mAsked, mMembers.owners("booking-1"));
        mAsked.clear();
        assertFalse(request().granted());
        assertEquals(mAsked.size(), 1);
        mMillis.addAndGet(10_000);
        mResponse = Optional.of(GRANTED);
        mAsked.clear();
        assertTrue(request().granted());
        assertEquals(mAsked, mMembers.owners("booking-1").subList(0, 1));
    }

    /** A host that has not listed the others yet uses a limit alone. */
    @Test
    public void hostThatDoesNotKnowTheOthersGetsNoPermit() {
        mMembers = QuotaMembers.unknown(host(0));
        PermitResponse response = request();
        assertFalse(response.granted());
        assertTrue(response.retryMillis() > 0);
        assertEquals(mAsked, List.of());
    }
}
