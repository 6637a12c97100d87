package org.cyclamenpaddle.router.settings;

import java.math.BigDecimal;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Allowed values of a setting: a range of numbers, or a set of words.
 *
 * @param least smallest allowed number
 * @param greatest greatest allowed number
 * @param choices allowed words in the order of the documentation; empty for numbers
 */
record SettingRange(double least, double greatest, Set<String> choices) {

    static final SettingRange ANY =
            new SettingRange(Double.NEGATIVE_INFINITY, Double.POSITIVE_INFINITY, Set.of());

    SettingRange {
        if (least > greatest) {
            throw new IllegalArgumentException("invalid range: from " + least + " to " + greatest);
        }
    }

    static SettingRange between(double least, double greatest) {
        return new SettingRange(least, greatest, Set.of());
    }

    static SettingRange of(String... words) {
        return new SettingRange(ANY.least, ANY.greatest, new LinkedHashSet<>(Arrays.asList(words)));
    }

    static SettingRange of(Enum<?>... words) {
        return of(Arrays.stream(words).map(Enum::name).toArray(String[]::new));
    }

    boolean contains(double value) {
        return value >= least && value <= greatest;
    }

    boolean bounded() {
        return !Double.isInfinite(least);
    }

    String text() {
        return plain(least) + " to " + plain(greatest);
    }

    private static String plain(double value) {
        return BigDecimal.valueOf(value).stripTrailingZeros().toPlainString();
    }
}
