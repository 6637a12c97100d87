import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON: objects as maps, arrays as lists, whole numbers as longs. */
final class Json {
    private final String mText;
    private int mAt;

    private Json(String text) {
        mText = text;
    }

    static Object parse(String text) {
        return new Json(text).value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(Object value) {
        return value instanceof Map ? (Map<String, Object>) value : Map.of();
    }

    private Object value() {
        blank();
        char c = mText.charAt(mAt);
        if (c == '{') {
            Map<String, Object> map = new LinkedHashMap<>();
            mAt++;
            for (blank(); mText.charAt(mAt) != '}'; blank()) {
                String key = string();
                blank();
                mAt++;
                map.put(key, value());
                blank();
                if (mText.charAt(mAt) == ',') {
                    mAt++;
                }
            }
            mAt++;
            return map;
        }
        if (c == '[') {
            List<Object> list = new ArrayList<>();
            mAt++;
            for (blank(); mText.charAt(mAt) != ']'; blank()) {
                list.add(value());
                blank();
                if (mText.charAt(mAt) == ',') {
                    mAt++;
                }
            }
            mAt++;
            return list;
        }
        if (c == '"') {
            return string();
        }
        int start = mAt;
        while (mAt < mText.length() && ",]} \n\r\t".indexOf(mText.charAt(mAt)) < 0) {
            mAt++;
        }
        String word = mText.substring(start, mAt);
        return switch (word) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> null;
            default -> word.matches("-?\\d+") ? (Object) Long.parseLong(word) : Double.valueOf(word);
        };
    }

    private String string() {
        StringBuilder text = new StringBuilder();
        for (mAt++; mText.charAt(mAt) != '"'; mAt++) {
            char c = mText.charAt(mAt);
            if (c == '\\') {
                c = mText.charAt(++mAt);
                if (c == 'u') {
                    c = (char) Integer.parseInt(mText.substring(mAt + 1, mAt + 5), 16);
                    mAt += 4;
                } else {
                    c = c == 'n' ? '\n' : c == 't' ? '\t' : c == 'r' ? '\r' : c;
                }
            }
            text.append(c);
        }
        mAt++;
        return text.toString();
    }

    private void blank() {
        while (mAt < mText.length() && Character.isWhitespace(mText.charAt(mAt))) {
            mAt++;
        }
    }

    static String write(Object value) {
        if (value instanceof Map<?, ?> map) {
            List<String> parts = new ArrayList<>();
            map.forEach((key, one) -> parts.add(write(key) + ":" + write(one)));
            return "{" + String.join(",", parts) + "}";
        }
        if (value instanceof List<?> list) {
            List<String> parts = new ArrayList<>();
            list.forEach(one -> parts.add(write(one)));
            return "[" + String.join(",", parts) + "]";
        }
        if (value instanceof String text) {
            return "\"" + text.replace("\\", "\\\\").replace("\"", "\\\"") + "\"";
        }
        return String.valueOf(value);
    }
}
