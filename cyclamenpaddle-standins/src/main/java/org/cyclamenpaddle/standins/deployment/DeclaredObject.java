package org.cyclamenpaddle.standins.deployment;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Configuration object as declared by operators.
 *
 * @param kind object kind in paths of the operator API
 * @param name object name
 * @param spec specification of the object
 */
public record DeclaredObject(String kind, String name, JsonNode spec) {}
