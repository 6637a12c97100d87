import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** One part of prompts ends each runner that begins to write an answer on it. */
final class CrashPart extends Scenario {

    private static final int DECODERS = 6;
    private static final int PREFILLS = 2;
    private static final int RELAYS = 6;
    private static final long CONTACT_MILLIS = 3_000;
    /** Time after which a runner is back that has ended. */
    private static final long BACK_MILLIS = 4_500;
    /** Three heartbeats of 1,200 ms, after which the entry of a silent runner is removed. */
    private static final long LAPSE_MILLIS = 3_600;
    private static final long LENGTH_MILLIS = 22_000;
    /** Time between two sound requests, and between two bad ones. */
    private static final long INTERVAL_MILLIS = 80;
    private static final String BAD = "bad0bad0";

    private final ScheduledExecutorService mTimer = Executors.newScheduledThreadPool(2);
    private final ExecutorService mThreads = Executors.newCachedThreadPool();
    private final AtomicInteger mStarted = new AtomicInteger();
    private final List<Long> mCrashes = new CopyOnWriteArrayList<>();
    private final Map<String, Long> mLate = new ConcurrentHashMap<>();
    private final AtomicInteger mSoundSent = new AtomicInteger();
    private final AtomicInteger mSoundServed = new AtomicInteger();
    private final AtomicInteger mBadSent = new AtomicInteger();

    private static boolean isBad(Runner.Arrival arrival) {
        return arrival.header("cyclamenpaddle-prompt-prefix").contains(BAD);
    }

    private void arrived(Runner runner, Runner.Arrival arrival) {
        if (!isBad(arrival)) {
            return;
        }
        long now = record.millis();
        long fifth = mCrashes.size() < 5 ? Long.MAX_VALUE / 2 : mCrashes.get(4);
        boolean late = now > fifth + CONTACT_MILLIS;
        record.log("runner %s gets %s, %d crashes so far%s", runner.id, arrival.id(), mCrashes.size(),
                late ? ", " + (now - fifth) + " ms after the fifth" : "");
        if (late) {
            mLate.putIfAbsent(arrival.id(), now);
        }
    }

    private final class Decoder extends Engine {
        private final AtomicBoolean mEnded = new AtomicBoolean();

        Decoder(String id, String zone) throws Exception {
            super(id, "decode");
            this.zone = zone;
        }

        @Override
        void work(Arrival arrival, Link link) throws Exception {
            arrived(this, arrival);
            Thread.sleep(14);
            if (!isBad(arrival)) {
                super.work(arrival, link);
                return;
            }
            if (!mEnded.compareAndSet(false, true)) {
                return;
            }
            mCrashes.add(record.millis());
            record.log("runner %s ends under %s", id, arrival.id());
            crash();
            mTimer.schedule(() -> store.remove("servers", id), LAPSE_MILLIS, TimeUnit.MILLISECONDS);
            mTimer.schedule(() -> startDecoder(zone), BACK_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void startDecoder(String zone) {
        try {
            Decoder decoder = keep(new Decoder("i-d" + mStarted.incrementAndGet(), zone));
            store.put("servers", decoder.id, decoder.entry(GEN_SERVICE, "ready", "decode"));
            record.log("runner %s starts", decoder.id);
        } catch (Exception failure) {
            record.log("cannot start: %s", failure);
        }
    }

    private void send(Relay relay, String id, boolean bad) {
        String prefix = bad ? "5c1e07a2:200," + BAD + ":300," : "5c1e07a2:200,";
        String request = Engine.request(id, 14_000).replace("5c1e07a2:200,", prefix);
        (bad ? mBadSent : mSoundSent).incrementAndGet();
        Caller.Answer answer = Caller.send(relay.front, request, 14_000);
        if (bad) {
            record.log("client got %d for %s at %s", answer.status(), id, relay.name);
        } else if (answer.status() == 200 && answer.complete()) {
            mSoundServed.incrementAndGet();
        }
    }

    @Override
    boolean run() throws Exception {
        configure(7, 900, true);
        for (int i = 0; i < DECODERS; i++) {
            startDecoder("z" + (i % 4 + 1));
        }
        for (int i = 0; i < PREFILLS; i++) {
            Engine prefill = keep(new Engine("i-p" + i, "prefill") {
                @Override
                void prefill(Arrival arrival, Link link) throws Exception {
                    arrived(this, arrival);
                    super.prefill(arrival, link);
                }
            });
            prefill.zone = "z" + (i % 4 + 1);
            store.put("servers", prefill.id, prefill.entry(GEN_SERVICE, "ready", "prefill"));
        }
        Relay[] relays = new Relay[RELAYS];
        for (int i = 0; i < RELAYS; i++) {
            relays[i] = relay("front-" + i, "z" + (i % 4 + 1));
        }
        for (Relay relay : relays) {
            require(relay.awaitReady(30_000), "relay not ready");
        }
        Thread.sleep(6_000);
        long start = record.millis();
        for (int i = 0; record.millis() < start + LENGTH_MILLIS; i++) {
            Relay relay = relays[i % RELAYS];
            String id = "ok-" + i;
            mThreads.execute(() -> send(relay, id, false));
            if (trouble && record.millis() > start + 5_000) {
                Relay other = relays[(i * 7 + 3) % RELAYS];
                String badId = "bad-" + i;
                mThreads.execute(() -> send(other, badId, true));
            }
            Thread.sleep(INTERVAL_MILLIS);
        }
        Thread.sleep(2_000);
        record.log("sound requests sent %d, served %d; bad ones sent %d; runners ended %d", mSoundSent.get(), mSoundServed.get(),
                mBadSent.get(), mCrashes.size());
        record.log("bad requests that reached runners later than %d ms after the fifth end: %d", CONTACT_MILLIS, mLate.size());
        require(mSoundServed.get() > 40, "hardly anything was served");
        return mLate.size() <= 3;
    }

    public static void main(String[] args) {
        main(new CrashPart(), args);
    }
}
