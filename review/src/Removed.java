import java.util.concurrent.atomic.AtomicLong;

/** The only runner of a service leaves without reporting that it drains: its entry is removed. */
final class Removed extends Scenario {

    private static final long DRAIN_MILLIS = 2_000;

    @Override
    boolean run() throws Exception {
        Runner leaver = keep(new Runner("i-7f3a91c2"));
        AtomicLong acknowledged = new AtomicLong(Long.MAX_VALUE);
        AtomicLong late = new AtomicLong();
        leaver.script = (arrival, link) -> {
            long since = record.millis() - acknowledged.get();
            record.log("runner %s runs %s%s", leaver.id, arrival.id(),
                    since > 0 ? ", " + since + " ms after the removal of its entry was acknowledged" : "");
            if (since > DRAIN_MILLIS) {
                late.incrementAndGet();
            }
            link.send(leaver.ran(arrival, "booked"));
        };
        Runner engine = keep(new Runner("i-02d9e6b4"));
        engine.script = (arrival, link) -> link.send(engine.notRun(arrival, 503));
        configure(7, 900, true);
        store.put("servers", leaver.id, leaver.entry(PLAIN_SERVICE, "ready", ""));
        store.put("servers", engine.id, engine.entry(GEN_SERVICE, "ready", "decode"));
        Relay[] relays = {relay("front-a-1"), relay("front-b-1"), relay("front-c-1"), relay("front-d-1")};
        for (Relay relay : relays) {
            require(relay.awaitReady(20_000), "relay not ready");
        }
        Thread.sleep(3_000);
        for (int i = 0; i < 20; i++) {
            require(book(relays[i % relays.length], "before-" + i) == 200, "not served before");
            Thread.sleep(50);
        }
        Thread.sleep(1_000);
        store.put("servers", engine.id, engine.entry(GEN_SERVICE, "draining", "decode"));
        record.log("runner %s of another service reports that it drains", engine.id);
        Thread.sleep(100);
        if (trouble) {
            leaver.leaving = true;
            store.remove("servers", leaver.id);
            acknowledged.set(record.millis());
            record.log("the store acknowledges that the entry of runner %s is removed", leaver.id);
        }
        Thread.sleep(DRAIN_MILLIS + 50);
        for (int i = 0; i < 40; i++) {
            book(relays[i % relays.length], "after-" + i);
            Thread.sleep(20);
        }
        record.log("requests that reached the runner late: %d", late.get());
        return late.get() == 0;
    }

    private int book(Relay relay, String id) {
        Caller.Answer answer = Caller.send(relay.front, Caller.request("POST", "/puxa403/x", id, 1_500, "", "lot 17"), 2_000);
        record.log("client got %d for %s at %s", answer.status(), id, relay.name);
        return answer.complete() ? answer.status() : 0;
    }

    public static void main(String[] args) {
        main(new Removed(), args);
    }
}
