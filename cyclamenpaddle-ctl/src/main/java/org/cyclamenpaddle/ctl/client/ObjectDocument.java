package org.cyclamenpaddle.ctl.client;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A configuration object as returned by an entry host.
 *
 * @param name name of the object
 * @param version version of the object
 * @param changeId id of the change that wrote this version
 * @param spec spec of the object
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
