import java.util.concurrent.atomic.AtomicInteger;

/** A faulty prefill runner spoils one byte of some of its answers. */
final class Spoiled extends Scenario {

    private static final int CLIENTS = 6;
    private static final long TRAFFIC_MILLIS = 20_000;
    private static final long FAULTY_AT_MILLIS = 5_000;
    private static final long FAULTY_MILLIS = 5_000;
    private static final double SHARE = 0.03;
    private static final long TIMEOUT_MILLIS = 3_000;
    private static final long SLACK_MILLIS = 500;

    private final AtomicInteger mSpoiled = new AtomicInteger();
    private volatile long mTrafficStart = Long.MAX_VALUE / 2;

    private final class Prefill extends Engine {
        private final AtomicInteger mAnswersWhileFaulty = new AtomicInteger();

        Prefill(String id) throws Exception {
            super(id, "prefill");
        }

        @Override
        void answer(Arrival arrival, Link link) throws Exception {
            long since = record.millis() - mTrafficStart;
            if (trouble && since >= FAULTY_AT_MILLIS && since < FAULTY_AT_MILLIS + FAULTY_MILLIS) {
                mAnswersWhileFaulty.incrementAndGet();
            }
            super.answer(arrival, link);
        }

        @Override
        void prefill(Arrival arrival, Link link) throws Exception {
            Thread.sleep(94);
            long since = record.millis() - mTrafficStart;
            boolean faulty = trouble && since >= FAULTY_AT_MILLIS && since < FAULTY_AT_MILLIS + FAULTY_MILLIS;
            String name = String.format("3%05xfa09c41", names.incrementAndGet());
            if (faulty && mSpoiled.get() + 1 <= mAnswersWhileFaulty.get() * SHARE) {
                mSpoiled.incrementAndGet();
                name = name.substring(0, 5) + "\\" + name.substring(6);
                record.log("runner %s spoils a byte of its answer to the prefill of %s: kv_handle %s", id, arrival.id(), name);
            }
            String body = "{\"kv_handle\":\"" + name + "\",\"tokens\":5200,\"version\":1,\"born\":1700000000000}";
            link.send(head(200) + "Cyclamenpaddle-Attempt-Id: " + arrival.id() + "\r\nContent-Type: application/json\r\nContent-Length: "
                    + body.length() + "\r\n\r\n" + body);
        }
    }

    @Override
    boolean run() throws Exception {
        Engine one = keep(new Engine("i-7f3a91c2", "decode"));
        Engine two = keep(new Engine("i-02d9e6b4", "decode"));
        Prefill prefill = keep(new Prefill("i-55aa01c2"));
        timeoutMillis = TIMEOUT_MILLIS;
        configure(7, 900, false);
        store.put("servers", one.id, one.entry(GEN_SERVICE, "ready", "decode"));
        store.put("servers", two.id, two.entry(GEN_SERVICE, "ready", "decode"));
        store.put("servers", prefill.id, prefill.entry(GEN_SERVICE, "ready", "prefill"));
        Relay relay = relay("front-a-1");
        require(relay.awaitReady(20_000), "relay not ready");
        Thread.sleep(2_000);
        mTrafficStart = record.millis();
        long end = mTrafficStart + TRAFFIC_MILLIS;
        AtomicInteger sent = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        AtomicInteger open = new AtomicInteger();
        AtomicInteger unanswered = new AtomicInteger();
        Thread[] clients = new Thread[CLIENTS];
        for (int c = 0; c < CLIENTS; c++) {
            int client = c;
            clients[c] = new Thread(() -> {
                for (int i = 0; record.millis() < end; i++) {
                    String id = "gen-" + client + "-" + i;
                    sent.incrementAndGet();
                    long from = record.millis();
                    Caller.Answer answer = Caller.send(relay.front, Engine.request(id, 14_000), 14_000);
                    long took = record.millis() - from;
                    record.log("client got %d%s for %s after %d ms", answer.status(), answer.complete() ? "" : " (incomplete)", id, took);
                    served.addAndGet(answer.status() == 200 && answer.complete() ? 1 : 0);
                    open.addAndGet(took >= TIMEOUT_MILLIS ? 1 : 0);
                    unanswered.addAndGet(took >= TIMEOUT_MILLIS + SLACK_MILLIS ? 1 : 0);
                }
            });
            clients[c].start();
        }
        for (Thread client : clients) {
            client.join();
        }
        record.log("sent %d, served %d; answers of the faulty runner while it was faulty %d, spoiled %d", sent.get(), served.get(),
                prefill.mAnswersWhileFaulty.get(), mSpoiled.get());
        record.log("unanswered at the route's timeout of %d ms: %d, and half a second later: %d", TIMEOUT_MILLIS, open.get(), unanswered.get());
        require(served.get() > 20, "hardly anything was served");
        return unanswered.get() * 2 <= open.get();
    }

    public static void main(String[] args) {
        main(new Spoiled(), args);
    }
}
