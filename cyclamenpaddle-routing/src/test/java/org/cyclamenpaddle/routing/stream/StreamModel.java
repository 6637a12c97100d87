package org.cyclamenpaddle.routing.stream;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.cyclamenpaddle.core.id.SoftwareVersion;
import org.cyclamenpaddle.core.id.StreamKey;
import org.cyclamenpaddle.core.message.StreamBeginning;

/**
 * Model of hosts in virtual time at which streams begin, break off and are taken up, during
 * rollouts that the hosts notice late, while hosts are killed and messages are lost.
 */
final class StreamModel {

    /** How a host finds the version of a stream that is taken up. */
    enum Way {
        /** The host that began it tells owners, which are asked. */
        OWNERS {
            @Override
            Optional<Integer> find(StreamModel model, Host host, long stream) {
                return model.ask(host, stream);
            }
        },
        /** The version follows from the stream's id and the versions that the host has listed. */
        FROM_THE_ID {
            @Override
            Optional<Integer> find(StreamModel model, Host host, long stream) {
                return Optional.of(model.choose(host, stream));
            }
        };

        abstract Optional<Integer> find(StreamModel model, Host host, long stream);
    }

    /** What became of the streams that were taken up while their version served. */
    record Result(int takenUp, int resumed, int mixed) {

        double share() {
            return resumed / (double) takenUp;
        }
    }

    private static final long RUN_MILLIS = 40_000;
    private static final long STREAMS_PER_SECOND = 60;
    private static final long MAX_LAG_MILLIS = 2_000;
    private static final long MAX_RUN_MILLIS = 5_000;
    private static final long MAX_RETURN_MILLIS = 300;
    private static final long MAX_MESSAGE_MILLIS = 20;
    private static final double LOST_SHARE = 0.02;
    private static final long RETENTION_MILLIS = 28_000;
    private static final int MAX_STREAMS = 16_384;
    private static final List<Long> ASKED_AFTER_MILLIS = List.of(0L, 40L, 160L);

    /**
     * Times at which versions appear and are gone again: a rollout, a rollback, and another one.
     */
    private static final long[][] SERVES = {{0, 16_000}, {8_000, 26_000}, {20_000, RUN_MILLIS * 2}};

    private final class Host {
        private final int mDomain;
        private final long mHash = mRandom.nextLong();
        private final long mLagMillis = (long) (mRandom.nextDouble() * MAX_LAG_MILLIS);
        private StreamBeginnings mMemory = new StreamBeginnings(MAX_STREAMS);

        private Host(int domain) {
            mDomain = domain;
        }

        private List<Integer> listed() {
            long asOf = Math.max(0, mNow - mLagMillis);
            return IntStream.range(0, SERVES.length)
                    .filter(version -> SERVES[version][0] <= asOf && asOf < SERVES[version][1])
                    .boxed()
                    .toList();
        }
    }

    private record Event(long millis, Runnable action) {}

    private final Random mRandom;
    private final Way mWay;
    private final List<Host> mHosts = new ArrayList<>();
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(Comparator.comparingLong(Event::millis));
    private long mNow;
    private int mTakenUp;
    private int mResumed;
    private int mMixed;

    StreamModel(Way way, int hosts, int domains, long seed) {
        mWay = way;
        mRandom = new Random(seed);
        IntStream.range(0, hosts).forEach(i -> mHosts.add(new Host(i % domains)));
    }

    Result run(double killsPerHost) {
        for (long at = 0; at < RUN_MILLIS; at += 1_000 / STREAMS_PER_SECOND) {
            mEvents.add(new Event(at, this::begin));
        }
        mHosts.forEach(
                host -> {
                    if (mRandom.nextDouble() < killsPerHost) {
                        long at = (long) (mRandom.nextDouble() * RUN_MILLIS);
                        mEvents.add(new Event(at, () -> kill(host)));
                    }
                });
        while (!mEvents.isEmpty()) {
            Event next = mEvents.remove();
            mNow = next.millis();
            next.action().run();
        }
        return new Result(mTakenUp, mResumed, mMixed);
    }

    private static void kill(Host host) {
        host.mMemory = new StreamBeginnings(MAX_STREAMS);
    }

    private Host anyHost() {
        return mHosts.get(mRandom.nextInt(mHosts.size()));
    }

    private void after(long millis, Runnable action) {
        mEvents.add(new Event(mNow + millis, action));
    }

    private long upTo(long millis) {
        return 1 + (long) (mRandom.nextDouble() * millis);
    }

    private void begin() {
        Host host = anyHost();
        long stream = mRandom.nextLong();
        int version =
                mWay == Way.FROM_THE_ID
                        ? choose(host, stream)
                        : host.listed().get(mRandom.nextInt(host.listed().size()));
        StreamBeginning begun =
                new StreamBeginning(new StreamKey(stream), version(version), RETENTION_MILLIS);
        host.mMemory.record(begun, mNow);
        owners(host, stream)
                .filter(owner -> owner != host && mRandom.nextDouble() >= LOST_SHARE)
                .forEach(
                        owner ->
                                after(
                                        upTo(MAX_MESSAGE_MILLIS),
                                        () -> owner.mMemory.record(begun, mNow)));
        after(
                upTo(MAX_RUN_MILLIS) + upTo(MAX_RETURN_MILLIS),
                () -> takeUp(anyHost(), stream, version, 0));
    }

    private void takeUp(Host host, long stream, int began, int tries) {
        Optional<Integer> found = mWay.find(this, host, stream);
        if (found.isEmpty() && tries + 1 < ASKED_AFTER_MILLIS.size()) {
            long pause = ASKED_AFTER_MILLIS.get(tries + 1) - ASKED_AFTER_MILLIS.get(tries);
            after(pause, () -> takeUp(host, stream, began, tries + 1));
            return;
        }
        mMixed += found.filter(version -> version != began).isPresent() ? 1 : 0;
        if (host.listed().contains(began)) {
            mTakenUp++;
            mResumed += found.filter(version -> version == began).isPresent() ? 1 : 0;
        }
    }

    private Optional<Integer> ask(Host host, long stream) {
        return Stream.concat(
                        Stream.of(host),
                        owners(host, stream).filter(owner -> owner == host || reached()))
                .flatMap(owner -> owner.mMemory.find(new StreamKey(stream), mNow).stream())
                .map(version -> Integer.parseInt(version.value()))
                .findFirst();
    }

    private boolean reached() {
        return mRandom.nextDouble() >= LOST_SHARE;
    }

    /** Returns two hosts in two domains and one of the asking host's own domain. */
    private Stream<Host> owners(Host asking, long stream) {
        Comparator<Host> weight = Comparator.comparingLong(host -> mix(mix(stream) ^ host.mHash));
        Host first = mHosts.stream().max(weight).orElseThrow();
        Optional<Host> second =
                mHosts.stream().filter(host -> host.mDomain != first.mDomain).max(weight);
        Optional<Host> own =
                mHosts.stream().filter(host -> host.mDomain == asking.mDomain).max(weight);
        return Stream.of(Optional.of(first), second, own).flatMap(Optional::stream).distinct();
    }

    private int choose(Host host, long stream) {
        return host.listed().stream()
                .max(Comparator.comparingLong(version -> mix(mix(stream) ^ version)))
                .orElseThrow();
    }

    private static SoftwareVersion version(int version) {
        return new SoftwareVersion(String.valueOf(version));
    }

    private static long mix(long value) {
        long mixed = (value ^ (value >>> 33)) * 0xff51afd7ed558ccdL;
        return mixed ^ (mixed >>> 33);
    }
}
