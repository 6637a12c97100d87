package org.cyclamenpaddle.store.codec;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.cfg.CoercionAction;
import com.fasterxml.jackson.databind.cfg.CoercionInputShape;
import com.fasterxml.jackson.databind.deser.std.StdScalarDeserializer;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.std.StdScalarSerializer;
import com.fasterxml.jackson.databind.type.LogicalType;
import java.io.IOException;
import java.util.function.Function;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.id.ChangeId;
import org.cyclamenpaddle.core.id.FailureDomain;
import org.cyclamenpaddle.core.id.PresetName;
import org.cyclamenpaddle.core.id.ServiceName;

/**
 * Creates the JSON mapper of configuration documents, which rejects unknown members and converts no
 * types.
 */
final class StrictMapper {

    private StrictMapper() {}

    static JsonMapper create() {
        JsonMapper.Builder builder =
                JsonMapper.builder()
                        .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                        .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                        .enable(DeserializationFeature.FAIL_ON_NUMBERS_FOR_ENUMS)
                        .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                        .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
                        .disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
                        .addModule(identifiers());
        builder.withCoercionConfig(
                LogicalType.Textual,
                config ->
                        config.setCoercion(CoercionInputShape.Integer, CoercionAction.Fail)
                                .setCoercion(CoercionInputShape.Float, CoercionAction.Fail)
                                .setCoercion(CoercionInputShape.Boolean, CoercionAction.Fail));
        return builder.build();
    }

    private static SimpleModule identifiers() {
        SimpleModule module = new SimpleModule("identifiers");
        identifier(module, BackendId.class, BackendId::new);
        identifier(module, ChangeId.class, ChangeId::new);
        identifier(module, FailureDomain.class, FailureDomain::new);
        identifier(module, PresetName.class, PresetName::new);
        identifier(module, ServiceName.class, ServiceName::new);
        return module;
    }

    private static <T> void identifier(
            SimpleModule module, Class<T> type, Function<String, T> parse) {
        module.addSerializer(type, new IdentifierSerializer<>(type));
        module.addDeserializer(type, new IdentifierDeserializer<>(type, parse));
    }

    private static final class IdentifierSerializer<T> extends StdScalarSerializer<T> {
        private static final long serialVersionUID = 1L;

        IdentifierSerializer(Class<T> type) {
            super(type);
        }

        @Override
        public void serialize(T value, JsonGenerator out, SerializerProvider provider)
                throws IOException {
            out.writeString(value.toString());
        }
    }

    private static final class IdentifierDeserializer<T> extends StdScalarDeserializer<T> {
        private static final long serialVersionUID = 1L;

        private final transient Function<String, T> mParse;

        IdentifierDeserializer(Class<T> type, Function<String, T> parse) {
            super(type);
            mParse = parse;
        }

        @Override
        public T deserialize(JsonParser in, DeserializationContext context) throws IOException {
            String text = _parseString(in, context, this);
            try {
                return mParse.apply(text);
            } catch (IllegalArgumentException malformed) {
                return handledType()
                        .cast(
                                context.handleWeirdStringValue(
                                        handledType(), text, "%s", malformed.getMessage()));
            }
        }

        @Override
        @SuppressWarnings("unchecked")
        public Class<T> handledType() {
            return (Class<T>) super.handledType();
        }
    }
}
