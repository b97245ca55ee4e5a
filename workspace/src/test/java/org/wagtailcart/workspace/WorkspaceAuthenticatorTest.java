package org.wagtailcart.workspace;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.wagtailcart.common.ResultCode;

/** Guards against a key that is taken for another workspace's, and against a refusal that the table does not justify. */
class WorkspaceAuthenticatorTest {
    private static final byte[] SALT = {1, 2, 3};
    /** More than the header lines of a request may have at the entry, so that quadratic time exceeds the limit. */
    private static final int MANY_SPACES = 1 << 20;

    private static final Duration TIME_LIMIT = Duration.ofSeconds(5);
    private static final RevocationPolicy STRICT = new RevocationPolicy(true, 5_000);

    private final WorkspaceAuthenticator authenticator = new WorkspaceAuthenticator(new WorkspaceTable(
            SALT, List.of(workspace("hule", "k-1", "k-2"), workspace("fida", "k-3"), workspace("none"))));

    private static Workspace workspace(String name, String... keys) {
        return new Workspace(
                name, List.of(keys).stream().map(key -> KeyDigest.of(SALT, key)).toList(), null);
    }

    @ParameterizedTest
    @CsvSource({"k-1, hule", "k-2, hule", "k-3, fida"})
    void eachKeyBelongsToItsWorkspace(String key, String name) {
        KeyDecision decision = authenticator.decide(PresentedKey.of(key), true, 0, RevocationPolicy.LENIENT);
        assertThat(decision.workspace().map(Workspace::name)).isEqualTo(Optional.of(name));
        assertThat(decision.verdict().refusal()).isEmpty();
    }

    /** Guards against a key that differs in case, length or by white space and is accepted all the same. */
    @ParameterizedTest
    @ValueSource(strings = {"k-4", "K-1", "k-", "k-11", "k-1\u0000", "hule"})
    void otherKeysBelongToNone(String key) {
        assertThat(authenticator
                        .decide(PresentedKey.of(key), true, 0, RevocationPolicy.LENIENT)
                        .verdict()
                        .refusal())
                .hasValue(ResultCode.API_KEY_REFUSED);
    }

    /** Guards against a final refusal by a table that may be outdated, and a strict gateway that serves from one. */
    @ParameterizedTest
    @CsvSource({
        // key, confirmed, age of the table, strict, verdict
        "k-1, true, 0, false, ACCEPTED",
        "k-1, false, 2000, false, ACCEPTED",
        "k-1, false, 9000000, false, ACCEPTED",
        "k-1, false, 4999, true, ACCEPTED",
        "k-1, false, 5000, true, OUTDATED",
        "k-9, true, 0, false, UNKNOWN",
        "k-9, true, 0, true, UNKNOWN",
        "k-9, false, 2000, false, UNCONFIRMED",
        "k-9, false, 5000, true, OUTDATED",
        "'', true, 0, false, MALFORMED",
        "'', false, 2000, false, UNCONFIRMED",
    })
    void theAgeOfTheTableDecidesHowAKeyIsRefused(
            String key, boolean confirmed, long ageMillis, boolean strict, KeyVerdict verdict) {
        RevocationPolicy policy = strict ? STRICT : RevocationPolicy.LENIENT;
        assertThat(authenticator
                        .decide(PresentedKey.of(key), confirmed, ageMillis, policy)
                        .verdict())
                .isEqualTo(verdict);
    }

    /** Guards against two keys with one digest, and an index that loses keys, at the usual and the worst-case load. */
    @ParameterizedTest
    @CsvSource({"80, 2", "10000, 100"})
    void eightyWorkspacesAndTenThousandWithAHundredKeysEach(int workspaces, int keys) {
        WorkspaceAuthenticator many = new WorkspaceAuthenticator(new WorkspaceTable(
                SALT,
                IntStream.range(0, workspaces)
                        .mapToObj(w -> workspace(
                                "w" + w,
                                IntStream.range(0, keys)
                                        .mapToObj(k -> w + "-" + k)
                                        .toArray(String[]::new)))
                        .toList()));
        assertThat(many.workspaces()).hasSize(workspaces);
        for (int w = 0; w < workspaces; w++) {
            for (int k = 0; k < keys; k++) {
                KeyDecision decision = many.decide(PresentedKey.of(w + "-" + k), true, 0, RevocationPolicy.LENIENT);
                if (!decision.workspace().map(Workspace::name).orElse("").equals("w" + w)) {
                    throw new AssertionError("key " + k + " of w" + w + ": " + decision);
                }
            }
            assertThat(many.decide(PresentedKey.of(w + "-" + keys), true, 0, RevocationPolicy.LENIENT)
                            .verdict())
                    .isEqualTo(KeyVerdict.UNKNOWN);
        }
    }

    /** Guards against a key with characters or a length that no key has, which is hashed or logged. */
    @ParameterizedTest
    @CsvSource({"'', MALFORMED", "a b, MALFORMED", "k\u00e9y, MALFORMED", "'k\u0001', MALFORMED", "k, ACCEPTED"})
    void faultyKeysAreTold(String text, KeyVerdict fault) {
        assertThat(PresentedKey.of(text).fault()).isEqualTo(fault);
        assertThat(PresentedKey.of(text).toString()).isEqualTo("PresentedKey[" + fault + "]");
    }

    @Test
    void overLongKeysAreToldBeforeTheyAreHashed() {
        assertThat(PresentedKey.of("k".repeat(PresentedKey.MAX_LENGTH)).fault()).isEqualTo(KeyVerdict.ACCEPTED);
        assertThat(PresentedKey.of("k".repeat(PresentedKey.MAX_LENGTH + 1)).fault())
                .isEqualTo(KeyVerdict.TOO_LONG);
    }

    /** Guards against a header with a long run of spaces that occupies a thread for minutes before its key is checked. */
    @ParameterizedTest
    @ValueSource(strings = {"Bearer %sk", "Bearer k%s", "%sBearer k", "Bearer k%sk"})
    void aLongRunOfSpacesIsReadInLinearTime(String format) {
        String header = format.formatted(" ".repeat(MANY_SPACES));
        KeyVerdict expected = format.endsWith("k%sk") ? KeyVerdict.TOO_LONG : KeyVerdict.ACCEPTED;
        PresentedKey key = assertTimeoutPreemptively(TIME_LIMIT, () -> PresentedKey.ofBearer(List.of(header)));
        assertThat(key.fault()).isEqualTo(expected);
    }

    /** Guards against equal digests of one key in two tables, by which its owner could be followed. */
    @Test
    void digestsDependOnTheSalt() {
        assertThat(KeyDigest.of(KeyDigest.newSalt(), "k-1")).isNotEqualTo(KeyDigest.of(KeyDigest.newSalt(), "k-1"));
        assertThat(KeyDigest.of(SALT, "k-1")).hasLength(16);
    }
}
