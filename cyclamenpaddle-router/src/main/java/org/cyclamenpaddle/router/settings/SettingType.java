package org.cyclamenpaddle.router.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Set;
import java.util.regex.Pattern;

/** Type of a setting's value, with its validation. */
public enum SettingType {
    /** Name of a host or failure domain. */
    NAME("1 to 128 letters, digits, '.', '_', ':' or '-', a letter or digit first") {
        @Override
        boolean accepts(JsonNode value, SettingRange range) {
            return value.isTextual() && NAME_FORM.matcher(value.textValue()).matches();
        }
    },
    /**
     * Literal IP address; host names are rejected because entry hosts do not use a name service.
     */
    IP_ADDRESS("an IP number such as \"127.0.0.1\"") {
        @Override
        boolean accepts(JsonNode value, SettingRange range) {
            return value.isTextual() && IpAddresses.isValid(value.textValue());
        }
    },
    /** Integer within its range. */
    INTEGER("a whole number") {
        @Override
        boolean accepts(JsonNode value, SettingRange range) {
            return value.isIntegralNumber()
                    && value.canConvertToLong()
                    && range.contains(value.longValue());
        }
    },
    /** Decimal number within its range. */
    FRACTION("a number") {
        @Override
        boolean accepts(JsonNode value, SettingRange range) {
            return value.isNumber() && range.contains(value.doubleValue());
        }
    },
    /** One of a fixed set of words. */
    CHOICE("one of") {
        @Override
        boolean accepts(JsonNode value, SettingRange range) {
            return value.isTextual() && range.choices().contains(value.textValue());
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

    /** Returns whether {@code value} is of this type and lies within {@code range}. */
    abstract boolean accepts(JsonNode value, SettingRange range);

    /** Returns a description of the allowed values, for messages and the documentation. */
    String allowed(SettingRange range) {
        Set<String> words = range.choices();
        if (!words.isEmpty()) {
            return mForm + " \"" + String.join("\", \"", words) + "\"";
        }
        return range.bounded() ? mForm + " from " + range.text() : mForm;
    }
}
