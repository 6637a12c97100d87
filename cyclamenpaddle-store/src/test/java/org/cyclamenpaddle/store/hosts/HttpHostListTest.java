package org.cyclamenpaddle.store.hosts;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.linecorp.armeria.common.HttpStatus;
import io.vavr.control.Either;
import java.util.List;
import org.cyclamenpaddle.core.id.FailureDomain;
import org.cyclamenpaddle.core.id.HostId;
import org.cyclamenpaddle.store.http.PlatformError;
import org.cyclamenpaddle.store.objects.FakePlatform;
import org.testng.annotations.Test;

public class HttpHostListTest {

    private static final String LIVE =
            "{\"host\":\"ahm-1\",\"address\":\"10.0.0.1\",\"peerPort\":7400,\"httpPort\":8080,"
                    + "\"domain\":\"ahm\",\"state\":\"live\"}";

    @Test
    public void readsLiveAndLeavingHostsAndSkipsMalformedOnes() {
        String leaving = LIVE.replace("ahm-1", "ahm-2").replace("\"live\"", "\"leaving\"");
        String malformed = LIVE.replace("ahm-1", "a host");
        assertEquals(
                read(HttpStatus.OK, "{\"hosts\":[" + LIVE + "," + leaving + "," + malformed + "]}"),
                Either.right(
                        new HostListing(List.of(host("ahm-1", false), host("ahm-2", true)), 1)));
    }

    @Test
    public void responseThatIsNoListIsRejected() {
        assertTrue(read(HttpStatus.OK, "{}").isLeft());
        assertTrue(read(HttpStatus.OK, "{\"hosts\":[{\"state\":\"gone\"}]}").isLeft());
        assertTrue(read(HttpStatus.SERVICE_UNAVAILABLE, "{\"hosts\":[]}").isLeft());
    }

    private static Either<PlatformError, HostListing> read(HttpStatus status, String body) {
        try (FakePlatform platform = new FakePlatform(request -> FakePlatform.json(status, body));
                HttpHostList list = new HttpHostList("127.0.0.1", platform.port(), 20_000)) {
            return list.hosts().join();
        }
    }

    private static ListedHost host(String name, boolean leaving) {
        return new ListedHost(
                new HostId(name), "10.0.0.1", 7400, 8080, new FailureDomain("ahm"), leaving);
    }
}
