package org.cyclamenpaddle.router.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;
import org.cyclamenpaddle.core.outcome.RefusalReason;
import org.cyclamenpaddle.core.outcome.RetryReason;
import org.cyclamenpaddle.router.explain.Decision;
import org.cyclamenpaddle.router.explain.Explanation;

/** Converts the values of the operator API to and from JSON documents. */
final class OperatorJson {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private OperatorJson() {}

    static Optional<JsonNode> read(String text) {
        try {
            return Optional.of(MAPPER.readTree(text));
        } catch (JsonProcessingException malformed) {
            return Optional.empty();
        }
    }

    static ObjectNode object(StoredObject stored) {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("name", stored.key().name());
        node.put("version", stored.version());
        node.put("changeId", stored.changeId().value());
        node.set("spec", read(stored.spec()).orElseGet(MAPPER::createObjectNode));
        return node;
    }

    static ObjectNode objects(List<StoredObject> stored) {
        ObjectNode node = MAPPER.createObjectNode();
        node.set("objects", array(stored, OperatorJson::object));
        return node;
    }

    static ObjectNode deleted(long version) {
        return MAPPER.createObjectNode().put("version", version);
    }

    static ObjectNode winner(StoredObject stored) {
        ObjectNode node = MAPPER.createObjectNode();
        node.set("winner", object(stored));
        return node;
    }

    static ObjectNode explanation(Explanation explanation) {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("request", explanation.request().value());
        node.set("decisions", array(explanation.decisions(), OperatorJson::decision));
        node.put("left", explanation.omitted());
        return node;
    }

    static ObjectNode status(StatusReport report) {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("reporter", report.reporter().value());
        node.put("presetInForce", report.presetInForce().map(Object::toString).orElse(""));
        node.put("inForceVersion", report.inForceVersion());
        node.put("hostsInForce", report.hostsInForce());
        node.put("hostsAlive", report.hostsAlive());
        node.put("platformReachable", report.platformReachable());
        node.set("hosts", array(report.hosts(), OperatorJson::host));
        node.set("backends", array(report.backends(), OperatorJson::backend));
        node.set("refusals", counts(report.refusals(), RefusalReason::code));
        node.set("retries", counts(report.retries(), RetryReason::code));
        return node;
    }

    private static ObjectNode decision(Decision decision) {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("afterMillis", decision.afterMillis());
        node.put("step", decision.step().code());
        node.put("text", decision.text());
        return node;
    }

    private static ObjectNode host(HostStatus host) {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("host", host.host().value());
        node.put("domain", host.domain().value());
        node.put("state", host.state().name());
        node.put("sameConfiguration", host.sameConfiguration());
        node.put("inForceVersion", host.inForceVersion());
        return node;
    }

    private static ObjectNode backend(BackendStatus backend) {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("backend", backend.backend().value());
        node.put("domain", backend.domain().value());
        node.put("service", backend.service().map(Object::toString).orElse(""));
        node.put("role", backend.role().map(Enum::name).orElse(""));
        node.put("owner", backend.owner().map(Object::toString).orElse(""));
        node.put("reachable", backend.reachable());
        node.put("slots", backend.slots());
        node.put("freeSlots", backend.freeSlots());
        node.put("leaving", backend.leaving());
        node.put("drained", backend.drained());
        return node;
    }

    private static <K> ObjectNode counts(Map<K, Long> counts, Function<K, String> code) {
        Map<String, Long> sorted = new TreeMap<>();
        counts.forEach((key, count) -> sorted.put(code.apply(key), count));
        ObjectNode node = MAPPER.createObjectNode();
        sorted.forEach(node::put);
        return node;
    }

    private static <T> ArrayNode array(List<T> items, Function<T, ObjectNode> form) {
        ArrayNode array = MAPPER.createArrayNode();
        items.forEach(item -> array.add(form.apply(item)));
        return array;
    }
}
