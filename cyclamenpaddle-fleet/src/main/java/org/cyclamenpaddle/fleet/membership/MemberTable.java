package org.cyclamenpaddle.fleet.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cyclamenpaddle.core.id.HostId;
import org.cyclamenpaddle.core.id.Incarnation;
import org.cyclamenpaddle.core.message.HostRecord;

/** Table of the other hosts by name, with a round-robin cursor. */
final class MemberTable {

    private final TreeMap<HostId, Member> mMembers = new TreeMap<>();
    private Optional<HostId> mLastInRotation = Optional.empty();

    Optional<Member> member(HostId host) {
        return Optional.ofNullable(mMembers.get(host));
    }

    /** Returns the member if it has exactly this incarnation. */
    Optional<Member> member(Incarnation incarnation) {
        return member(incarnation.host())
                .filter(member -> member.record().incarnation().equals(incarnation));
    }

    Collection<Member> members() {
        return mMembers.values();
    }

    Member put(HostRecord record, long nowMillis) {
        Member member = new Member(record, nowMillis);
        mMembers.put(record.incarnation().host(), member);
        return member;
    }

    /** Removes members permanently. */
    void removeIf(Predicate<Member> test) {
        mMembers.values().removeIf(test);
    }

    List<HostRecord> records(Predicate<Member> test) {
        return mMembers.values().stream()
                .filter(test)
                .map(Member::record)
                .collect(Collectors.toList());
    }

    /** Returns the next members in round-robin order that pass a test, at most {@code count}. */
    List<HostRecord> nextInRotation(int count, Predicate<Member> test) {
        List<HostRecord> chosen =
                rotationOrder()
                        .filter(test)
                        .limit(count)
                        .map(Member::record)
                        .collect(Collectors.toCollection(ArrayList::new));
        if (!chosen.isEmpty()) {
            mLastInRotation = Optional.of(chosen.get(chosen.size() - 1).incarnation().host());
        }
        return chosen;
    }

    private Stream<Member> rotationOrder() {
        return mLastInRotation
                .map(
                        last ->
                                Stream.concat(
                                        mMembers.tailMap(last, false).values().stream(),
                                        mMembers.headMap(last, true).values().stream()))
                .orElseGet(() -> mMembers.values().stream());
    }
}
