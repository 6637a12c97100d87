package org.cyclamenpaddle.standins.deployment;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * One configuration object as operators declare it.
 *
 * @param kind kind in operator paths
 * @param name name
 * @param spec its members
 */
public record DeclaredObject(String kind, String name, JsonNode spec) {}
