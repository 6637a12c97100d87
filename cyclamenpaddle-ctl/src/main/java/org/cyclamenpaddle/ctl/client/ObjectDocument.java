package org.cyclamenpaddle.ctl.client;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A configuration object as an entry host shows it.
 *
 * @param name its name
 * @param version its version
 * @param changeId the change that wrote it
 * @param spec its spec
 */
public record ObjectDocument(String name, long version, String changeId, JsonNode spec) {

    static ObjectDocument of(JsonNode node) {
        return new ObjectDocument(
                node.path("name").asText(),
                node.path("version").asLong(),
                node.path("changeId").asText(),
                node.path("spec"));
    }
}
