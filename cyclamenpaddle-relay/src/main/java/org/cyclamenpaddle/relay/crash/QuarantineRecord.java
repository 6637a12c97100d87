package org.cyclamenpaddle.relay.crash;

import io.vavr.control.Try;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.message.StrikeNotice;

/**
 * Text form of quarantines: entries separated by spaces, each with the fingerprint in hexadecimal,
 * the remaining time in milliseconds and the servers, separated by commas.
 */
final class QuarantineRecord {

    private static final String ENTRIES = " ";
    private static final String FIELDS = ",";
    private static final int HEX = 16;
    private static final int FIRST_SERVER = 2;

    private QuarantineRecord() {}

    static String format(List<StrikeNotice> notices) {
        return notices.stream().map(QuarantineRecord::format).collect(Collectors.joining(ENTRIES));
    }

    /** Returns the quarantines of a text; entries that cannot be read are left out. */
    static List<StrikeNotice> parse(String text) {
        return Arrays.stream(text.split(ENTRIES))
                .filter(entry -> !entry.isBlank())
                .flatMap(entry -> Try.of(() -> notice(entry)).toJavaStream())
                .toList();
    }

    private static String format(StrikeNotice notice) {
        return Long.toHexString(notice.fingerprint())
                + FIELDS
                + notice.remainingMillis()
                + FIELDS
                + notice.crashedBackends().stream()
                        .map(BackendId::value)
                        .sorted()
                        .collect(Collectors.joining(FIELDS));
    }

    private static StrikeNotice notice(String entry) {
        String[] fields = entry.split(FIELDS);
        Set<BackendId> servers =
                Arrays.stream(fields)
                        .skip(FIRST_SERVER)
                        .map(BackendId::new)
                        .collect(Collectors.toSet());
        return new StrikeNotice(
                Long.parseUnsignedLong(fields[0], HEX), servers, Long.parseLong(fields[1]));
    }
}
