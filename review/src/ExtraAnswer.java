import java.util.Collections;
import java.util.Map;
import java.util.WeakHashMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A faulty runner sends a second answer to a request, late: on the same connection, where the answer
 * to the next request is expected. It bears the id of the earlier request and says "not executed".
 */
final class ExtraAnswer extends Scenario {

    private static final int CLIENTS = 6;
    private static final long TRAFFIC_MILLIS = 20_000;
    /** When the runner is faulty, after the start of traffic, and for how long. */
    private static final long FAULTY_AT_MILLIS = 5_000;
    private static final long FAULTY_MILLIS = 5_000;
    /** Share of the answers of the faulty runner that are followed by a second one, at most. */
    private static final double SHARE = 0.03;
    private static final long FIRST_TOKEN_MILLIS = 14;

    private final Map<String, AtomicInteger> mRuns = new ConcurrentHashMap<>();
    private final AtomicInteger mExtras = new AtomicInteger();
    private volatile long mTrafficStart = Long.MAX_VALUE / 2;

    private final class Decoder extends Engine {

        private final boolean mFaulty;
        /** Last request that was answered completely on a connection. */
        private final Map<Link, String> mEarlier = Collections.synchronizedMap(new WeakHashMap<>());
        private final AtomicInteger mAnswersWhileFaulty = new AtomicInteger();

        Decoder(String id, boolean faulty) throws Exception {
            super(id, "decode");
            mFaulty = faulty;
        }

        private boolean faultyNow() {
            long since = record.millis() - mTrafficStart;
            return trouble && mFaulty && since >= FAULTY_AT_MILLIS && since < FAULTY_AT_MILLIS + FAULTY_MILLIS;
        }

        @Override
        void answer(Arrival arrival, Link link) throws Exception {
            if (faultyNow()) {
                mAnswersWhileFaulty.incrementAndGet();
            }
            super.answer(arrival, link);
        }

        @Override
        void work(Arrival arrival, Link link) throws Exception {
            Thread.sleep(FIRST_TOKEN_MILLIS);
            int runs = mRuns.computeIfAbsent(arrival.id(), k -> new AtomicInteger()).incrementAndGet();
            record.log("runner %s makes the first token of %s (run %d of this request)", id, arrival.id(), runs);
            String earlier = mEarlier.get(link);
            if (faultyNow() && earlier != null && mExtras.get() + 1 <= mAnswersWhileFaulty.get() * SHARE) {
                mExtras.incrementAndGet();
                record.log("runner %s sends a second answer to %s before its answer to %s", id, earlier, arrival.id());
                link.send(head(503) + "Cyclamenpaddle-Attempt-Id: " + earlier
                        + "\r\nCyclamenpaddle-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            }
            super.work(arrival, link);
            mEarlier.put(link, arrival.id());
        }
    }

    @Override
    boolean run() throws Exception {
        Decoder faulty = keep(new Decoder("i-7f3a91c2", true));
        Decoder sound = keep(new Decoder("i-02d9e6b4", false));
        Engine prefill = keep(new Engine("i-55aa01c2", "prefill"));
        configure(7, 900, false);
        store.put("servers", faulty.id, faulty.entry(GEN_SERVICE, "ready", "decode"));
        store.put("servers", sound.id, sound.entry(GEN_SERVICE, "ready", "decode"));
        store.put("servers", prefill.id, prefill.entry(GEN_SERVICE, "ready", "prefill"));
        Relay relay = relay("front-a-1");
        require(relay.awaitReady(20_000), "relay not ready");
        Thread.sleep(2_000);
        mTrafficStart = record.millis();
        long end = mTrafficStart + TRAFFIC_MILLIS;
        AtomicInteger served = new AtomicInteger();
        AtomicInteger sent = new AtomicInteger();
        Thread[] clients = new Thread[CLIENTS];
        for (int c = 0; c < CLIENTS; c++) {
            int client = c;
            clients[c] = new Thread(() -> {
                for (int i = 0; record.millis() < end; i++) {
                    String id = "gen-" + client + "-" + i;
                    sent.incrementAndGet();
                    Caller.Answer answer = Caller.send(relay.front, Engine.request(id, 14_000), 14_000);
                    record.log("client got %d%s for %s", answer.status(), answer.complete() ? "" : " (incomplete)", id);
                    served.addAndGet(answer.status() == 200 && answer.complete() ? 1 : 0);
                }
            });
            clients[c].start();
        }
        for (Thread client : clients) {
            client.join();
        }
        long twice = mRuns.values().stream().filter(runs -> runs.get() > 1).count();
        record.log("sent %d, served %d; answers of the faulty runner while it was faulty %d, second answers %d", sent.get(),
                served.get(), faulty.mAnswersWhileFaulty.get(), mExtras.get());
        record.log("requests that ran more than once, though the route is not resumable: %d", twice);
        require(served.get() > 20, "hardly anything was served");
        return twice == 0;
    }

    public static void main(String[] args) {
        main(new ExtraAnswer(), args);
    }
}
