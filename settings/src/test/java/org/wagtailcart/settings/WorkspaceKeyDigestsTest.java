package org.wagtailcart.settings;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;

/** Guards against digests that count for other workspaces, and trees in which a key belongs to two or to none. */
class WorkspaceKeyDigestsTest {
    private static final SettingsEdit SALT = SettingsEdit.set("/workspaces", "key-salt", "AAECAwQFBgcICQoLDA0ODw");
    private static final String A = "aaaaaaaaaaaaaaaa";
    private static final String B = "bbbbbbbbbbbbbbbb";

    private static SettingsTree validate(SettingsEdit... edits) {
        return SettingsState.validate(SettingsTree.EMPTY, List.of(edits), EngineStatusSource.ALL_ACTIVE);
    }

    private static SettingsEdit digests(String branch, String value) {
        return SettingsEdit.set(branch, "key-digests", value);
    }

    /** Guards against digests of a parent or of a branch further below that authenticate as the workspace. */
    @Test
    void onlyTheDigestsOfAWorkspaceItselfCount() {
        SettingsTree tree = validate(
                SALT,
                digests("/workspaces", A),
                digests("/workspaces/hule", B + ", " + A),
                digests("/workspaces/hule/below", "cccccccccccccccc"),
                digests("/workspaces/none", ""),
                digests("/upstreams/x", "dddddddddddddddd"));
        assertThat(WorkspaceKeyDigests.byWorkspace(tree)).isEqualTo(Map.of("hule", List.of(B, A)));
        assertThat(WorkspaceKeyDigests.salt(tree)).hasValue("AAECAwQFBgcICQoLDA0ODw");
    }

    @Test
    void aSharedDigestIsRefusedWithBothNames() {
        WagtailcartException error = assertThrows(
                WagtailcartException.class,
                () -> validate(SALT, digests("/workspaces/hule", A), digests("/workspaces/fida", B + "," + A)));
        assertThat(error.code()).isEqualTo(ResultCode.SETTING_INVALID);
        assertThat(error).hasMessageThat().contains("fida and hule");
        assertThat(error).hasMessageThat().doesNotContain(A);
    }

    @Test
    void digestsWithoutASaltAreRefused() {
        assertThrows(WagtailcartException.class, () -> validate(digests("/workspaces/hule", A)));
        SettingsTree salted = validate(SALT, digests("/workspaces/hule", A));
        assertThrows(
                WagtailcartException.class,
                () -> SettingsState.validate(
                        salted, List.of(SettingsEdit.unset("/workspaces", "key-salt")), EngineStatusSource.ALL_ACTIVE));
    }
}
