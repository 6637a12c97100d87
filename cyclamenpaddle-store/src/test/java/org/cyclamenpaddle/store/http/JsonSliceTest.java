package org.cyclamenpaddle.store.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that documents are split whatever the values in them are. */
public class JsonSliceTest {

    private static final long SEED = 20_261_205L;
    private static final int MUTANTS = 20_000;
    private static final String DOCUMENT =
            "{ \"as_of\" : 7, \"items\":[ {\"a\":\"x]}\\\"\"} ,3,[ [],{}], %s ],\"more\":true}";

    private static JsonSlice slice(String document) {
        return JsonSlice.of(document.getBytes(StandardCharsets.UTF_8));
    }

    @DataProvider
    public Object[][] odd() {
        return new Object[][] {
            {"[".repeat(20_000) + "]".repeat(20_000)},
            {"{\"a\":".repeat(20_000) + "1" + "}".repeat(20_000)},
            {"1".repeat(1_100)},
            {"1e999999999999999999999999999999999999999999999999999999999999999999"},
            {"{\"a\":NaN,\"b\":tru,\"c\":\"\\uzzzz\",\"d\":\"\u0001\"}"},
            {"\"" + "x".repeat(JsonSlice.MAX_BYTES) + "\""},
            {"{\"a\" 1}"},
        };
    }

    /** Failure: one value that cannot be read makes the whole document unreadable. */
    @Test(dataProvider = "odd")
    public void valuesBesideAnOddOneAreRead(String odd) {
        JsonSlice document = slice(DOCUMENT.formatted(odd));
        assertEquals(document.member("as_of").flatMap(JsonSlice::integer), Optional.of(7L));
        assertTrue(document.member("more").orElseThrow().isTrue());
        List<JsonSlice> items = document.member("items").flatMap(JsonSlice::elements).orElseThrow();
        assertEquals(items.size(), 4);
        assertEquals(items.get(0).member("a").flatMap(JsonSlice::text), Optional.of("x]}\""));
        assertEquals(items.get(1).integer(), Optional.of(3L));
        assertEquals(items.get(2).elements().orElseThrow().size(), 2);
        items.get(3).read();
    }

    @Test
    public void limitsApplyToEachValue() {
        String deep = "[".repeat(JsonSlice.MAX_DEPTH + 1) + "]".repeat(JsonSlice.MAX_DEPTH + 1);
        assertTrue(slice(deep).read().isLeft());
        assertTrue(slice(deep.substring(1, deep.length() - 1)).read().isRight());
        assertTrue(slice("1".repeat(JsonSlice.MAX_NUMBER_LENGTH + 1)).read().isLeft());
        assertEquals(slice("9223372036854775808").integer(), Optional.empty());
        assertEquals(slice("7.0").integer(), Optional.empty());
    }

    @Test
    public void lastOfSeveralMembersCounts() {
        JsonSlice doubled = slice("{\"a\":1,\"a\":2}");
        assertEquals(doubled.member("a").flatMap(JsonSlice::integer), Optional.of(2L));
        assertEquals(doubled.member("b"), Optional.empty());
    }

    @Test
    public void documentWithoutAnEndHasNoMembersAndElements() {
        assertEquals(slice("{\"a\":[1,2").member("a"), Optional.empty());
        assertEquals(slice("{\"a\":[1,2]").member("a"), Optional.empty());
        assertEquals(slice("[1,{\"a\":\"").elements(), Optional.empty());
        assertEquals(slice("").elements(), Optional.empty());
        assertEquals(slice("7").member("a"), Optional.empty());
    }

    /** Whatever bytes arrive, splitting and reading them ends, and throws nothing. */
    @Test
    public void mutatedDocumentsNeverThrow() {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(SEED);
        byte[] document = DOCUMENT.formatted("{}").getBytes(StandardCharsets.UTF_8);
        for (int i = 0; i < MUTANTS; i++) {
            byte[] mutant = document.clone();
            int changes = 1 + random.nextInt(3);
            for (int change = 0; change < changes; change++) {
                mutant[random.nextInt(mutant.length)] = (byte) random.nextInt(256);
            }
            JsonSlice slice = JsonSlice.of(mutant);
            slice.read();
            slice.member("as_of").ifPresent(JsonSlice::integer);
            slice.member("items")
                    .flatMap(JsonSlice::elements)
                    .ifPresent(items -> items.forEach(JsonSlice::read));
        }
    }
}
