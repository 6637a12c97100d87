package org.cyclamenpaddle.router.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Map;

/** Checked values of all keys, with the defaults filled in. */
record SettingValues(Map<SettingKey, JsonNode> values) {

    String text(SettingKey key) {
        return values.get(key).textValue();
    }

    int number(SettingKey key) {
        return Math.toIntExact(millis(key));
    }

    long millis(SettingKey key) {
        return values.get(key).longValue();
    }

    double share(SettingKey key) {
        return values.get(key).doubleValue();
    }

    List<PeerAddress> addresses(SettingKey key) {
        return values.get(key)
                .valueStream()
                .flatMap(node -> PeerAddress.parse(node.textValue()).stream())
                .toList();
    }
}
