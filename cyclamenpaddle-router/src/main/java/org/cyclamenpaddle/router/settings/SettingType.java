package org.cyclamenpaddle.router.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Set;
import java.util.regex.Pattern;

/** Form of a setting's value, with the check that a value has it. */
public enum SettingType {
    /** Name of a host or failure domain. */
    NAME("1 to 128 letters, digits, '.', '_', ':' or '-', a letter or digit first") {
        @Override
        boolean accepts(JsonNode value, SettingRange range) {
            return value.isTextual() && NAME_FORM.matcher(value.textValue()).matches();
        }
    },
    /** IP number; names are refused because entry hosts use no name service. */
    IP_ADDRESS("an IP number such as \"127.0.0.1\"") {
        @Override
        boolean accepts(JsonNode value, SettingRange range) {
            return value.isTextual() && IpNumbers.valid(value.textValue());
        }
    },
    /** Whole number within its range. */
    INTEGER("a whole number") {
        @Override
        boolean accepts(JsonNode value, SettingRange range) {
            return value.isIntegralNumber()
                    && value.canConvertToLong()
                    && range.contains(value.longValue());
        }
    },
    /** Fraction within its range. */
    FRACTION("a number") {
        @Override
        boolean accepts(JsonNode value, SettingRange range) {
            return value.isNumber() && range.contains(value.doubleValue());
        }
    },
    /** One of a few words. */
    CHOICE("one of") {
        @Override
        boolean accepts(JsonNode value, SettingRange range) {
            return value.isTextual() && range.words().contains(value.textValue());
        }
    },
    /** List of addresses with ports. */
    ADDRESSES("a list of \"IP-number:port\"") {
        @Override
        boolean accepts(JsonNode value, SettingRange range) {
            return value.isArray()
                    && value.valueStream().allMatch(v -> PeerAddress.parse(v.asText()).isPresent());
        }
    };

    private static final Pattern NAME_FORM = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:-]{0,127}");

    private final String mForm;

    SettingType(String form) {
        mForm = form;
    }

    /** Returns whether {@code value} has this form and lies within {@code range}. */
    abstract boolean accepts(JsonNode value, SettingRange range);

    /** Returns what is allowed, for messages and the docs page. */
    String allowed(SettingRange range) {
        Set<String> words = range.words();
        if (!words.isEmpty()) {
            return mForm + " \"" + String.join("\", \"", words) + "\"";
        }
        return range.bounded() ? mForm + " from " + range.text() : mForm;
    }
}
