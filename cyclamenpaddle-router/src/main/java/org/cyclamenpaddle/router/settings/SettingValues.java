package org.cyclamenpaddle.router.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Map;

/** Validated values of all keys, including defaults. */
record SettingValues(Map<SettingKey, JsonNode> values) {

    String text(SettingKey key) {
        return values.get(key).textValue();
    }

    int intValue(SettingKey key) {
        return Math.toIntExact(longValue(key));
    }

    long longValue(SettingKey key) {
        return values.get(key).longValue();
    }

    double doubleValue(SettingKey key) {
        return values.get(key).doubleValue();
    }

    List<PeerAddress> addresses(SettingKey key) {
        return values.get(key)
                .valueStream()
                .flatMap(node -> PeerAddress.parse(node.textValue()).stream())
                .toList();
    }
}
