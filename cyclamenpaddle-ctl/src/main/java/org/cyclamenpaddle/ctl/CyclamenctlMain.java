package org.cyclamenpaddle.ctl;

import com.linecorp.armeria.client.Endpoint;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.cyclamenpaddle.core.id.ChangeId;
import org.cyclamenpaddle.core.time.MonotonicClock;
import org.cyclamenpaddle.ctl.client.HttpOperatorClient;
import org.cyclamenpaddle.ctl.command.Cyclamenctl;
import org.cyclamenpaddle.ctl.command.Session;

/** Entry point of {@code cyclamenctl}. */
public final class CyclamenctlMain {

    private static final int MAX_USER_LENGTH = 40;

    private CyclamenctlMain() {}

    /**
     * Runs one command and exits with its exit code.
     *
     * @param line command words and options
     */
    public static void main(String[] line) {
        Cyclamenctl program = new Cyclamenctl(CyclamenctlMain::session, System.out, System.err);
        System.exit(program.run(line).number());
    }

    private static Session session(List<Endpoint> servers) {
        return new Session(
                new HttpOperatorClient(servers),
                CyclamenctlMain::changeId,
                new MonotonicClock(),
                millis -> LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(millis)));
    }

    /**
     * Returns a new change id that starts with the operator's name, to identify the winner of a
     * conflict.
     */
    private static ChangeId changeId() {
        String user = System.getProperty("user.name", "").replaceAll("[^A-Za-z0-9]", "");
        String name = user.isEmpty() ? "operator" : user;
        String prefix = name.substring(0, Math.min(MAX_USER_LENGTH, name.length()));
        return new ChangeId(prefix + ":" + UUID.randomUUID());
    }
}
