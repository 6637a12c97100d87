package org.cyclamenpaddle.router.event;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.ThrowableProxyUtil;
import ch.qos.logback.core.encoder.EncoderBase;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;

/** Log encoder that writes each event as one JSON object with its code and named fields. */
final class EventJsonEncoder extends EncoderBase<ILoggingEvent> {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final byte[] EMPTY = new byte[0];

    @Override
    public byte[] headerBytes() {
        return EMPTY;
    }

    @Override
    public byte[] encode(ILoggingEvent event) {
        ObjectNode line = MAPPER.createObjectNode();
        line.put("time", event.getInstant().toString());
        line.put("level", event.getLevel().toString().toLowerCase(Locale.ROOT));
        Map<String, String> context = event.getMDCPropertyMap();
        if (context.containsKey(EventLog.CODE_KEY)) {
            line.put("code", context.get(EventLog.CODE_KEY));
            line.set("fields", fields(context));
        }
        line.put("message", event.getFormattedMessage());
        if (event.getThrowableProxy() != null) {
            line.put("stack", ThrowableProxyUtil.asString(event.getThrowableProxy()));
        }
        return (line + "\n").getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public byte[] footerBytes() {
        return EMPTY;
    }

    private static ObjectNode fields(Map<String, String> context) {
        ObjectNode fields = MAPPER.createObjectNode();
        context.entrySet().stream()
                .filter(entry -> entry.getKey().startsWith(EventLog.FIELD_PREFIX))
                .sorted(Map.Entry.comparingByKey())
                .forEach(
                        entry ->
                                fields.put(
                                        entry.getKey().substring(EventLog.FIELD_PREFIX.length()),
                                        entry.getValue()));
        return fields;
    }
}
