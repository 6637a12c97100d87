import java.util.concurrent.atomic.AtomicLong;

/** An entry of another writer cannot be read; afterwards a runner announces that it leaves. */
final class BadEntry extends Scenario {

    private static final long DRAIN_MILLIS = 2_000;

    @Override
    boolean run() throws Exception {
        Runner leaver = keep(new Runner("i-7f3a91c2"));
        Runner stayer = keep(new Runner("i-02d9e6b4"));
        AtomicLong acknowledged = new AtomicLong(Long.MAX_VALUE);
        AtomicLong late = new AtomicLong();
        leaver.script = (arrival, link) -> {
            long since = record.millis() - acknowledged.get();
            record.log("runner %s runs %s%s", leaver.id, arrival.id(),
                    since > 0 ? ", " + since + " ms after its draining was acknowledged" : "");
            if (since > DRAIN_MILLIS) {
                late.incrementAndGet();
            }
            link.send(leaver.ran(arrival, "stock 17"));
        };
        stayer.script = (arrival, link) -> {
            record.log("runner %s runs %s", stayer.id, arrival.id());
            link.send(stayer.ran(arrival, "stock 17"));
        };
        configure(7, 900, true);
        store.put("servers", leaver.id, leaver.entry(PLAIN_SERVICE, "ready", ""));
        store.put("servers", stayer.id, stayer.entry(PLAIN_SERVICE, "ready", ""));
        Relay first = relay("front-a-1");
        Relay second = relay("front-b-1");
        require(first.awaitReady(20_000) && second.awaitReady(20_000), "relays not ready");
        Thread.sleep(5_000);
        int served = 0;
        for (int i = 0; i < 20; i++) {
            served += ask(i % 2 == 0 ? first : second, "before-" + i) ? 1 : 0;
            Thread.sleep(100);
        }
        require(served == 20, "not served before");
        if (trouble) {
            boolean nested = "1".equals(System.getenv("NEST"));
            String slots = nested ? "[".repeat(1_100) + "]".repeat(1_100) : "1".repeat(1_100);
            store.put("servers", "i-5c0ffee0", "{\"service\":\"" + PLAIN_SERVICE + "\",\"address\":\"127.0.0.1:9\",\"slots\":" + slots
                    + ",\"state\":\"ready\",\"zone\":\"z1\",\"seq\":1}");
            record.log("another writer's entry is stored: slots is %s", nested ? "an array nested 1,100 deep" : "a number with 1,100 digits");
        }
        Thread.sleep(6_000);
        leaver.leaving = true;
        store.put("servers", leaver.id, leaver.entry(PLAIN_SERVICE, "draining", ""));
        acknowledged.set(record.millis());
        record.log("the store acknowledges that runner %s is draining", leaver.id);
        Thread.sleep(DRAIN_MILLIS + 1_500);
        for (int i = 0; i < 20; i++) {
            ask(i % 2 == 0 ? first : second, "after-" + i);
            Thread.sleep(100);
        }
        Relay third = relay("front-c-1");
        record.log("a relay that starts now is ready within 10 s: %s", third.awaitReady(10_000));
        record.log("requests that reached the leaving runner late: %d", late.get());
        return late.get() == 0;
    }

    private boolean ask(Relay relay, String id) {
        Caller.Answer answer = Caller.send(relay.front, Caller.request("GET", "/cufi504/x", id, 1_500, "", ""), 2_000);
        record.log("client got %d for %s at %s", answer.status(), id, relay.name);
        return answer.status() == 200 && answer.complete();
    }

    public static void main(String[] args) {
        main(new BadEntry(), args);
    }
}
