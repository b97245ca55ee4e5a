package org.wagtailcart.entry.request;

import java.util.Locale;
import java.util.Set;
import java.util.stream.Stream;
import org.wagtailcart.common.HeaderLines;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.workspace.KeyDecision;
import org.wagtailcart.workspace.PresentedKey;
import org.wagtailcart.workspace.RevocationPolicy;
import org.wagtailcart.workspace.Workspace;
import org.wagtailcart.workspace.WorkspaceAuthenticator;

/** Check of the API keys of callers against the settings tree. Stateless. */
public final class CallerAuthenticator {
    private static final String AUTHORIZATION = "Authorization";
    private static final String WORKSPACE = "Wagtailcart-Workspace";
    /** Headers by which a caller states who it is, in lower case. */
    private static final Set<String> CREDENTIALS = Set.of("authorization", "wagtailcart-workspace");

    private CallerAuthenticator() {}

    /**
     * Returns a request with the workspace of its key in place of its credentials, or unchanged if the settings have no
     * keys.
     *
     * @param confirmed whether the control group has confirmed the settings
     * @throws WagtailcartException when the request has no valid key
     */
    public static HttpRequestHead authenticate(HttpRequestHead head, PoolDirectory pools, boolean confirmed) {
        return pools.authenticator()
                .map(authenticator -> withWorkspace(head, workspaceOf(head, authenticator, confirmed)))
                .orElse(head);
    }

    private static Workspace workspaceOf(
            HttpRequestHead head, WorkspaceAuthenticator authenticator, boolean confirmed) {
        PresentedKey key = PresentedKey.ofBearer(
                HeaderLines.all(head.headers(), AUTHORIZATION).toList());
        KeyDecision decision = authenticator.decide(key, confirmed, 0, RevocationPolicy.LENIENT);
        return decision.workspace()
                .orElseThrow(() -> new WagtailcartException(
                        confirmed ? ResultCode.API_KEY_REFUSED : ResultCode.SETTINGS_LEASE_EXPIRED,
                        decision.verdict().text()));
    }

    private static HttpRequestHead withWorkspace(HttpRequestHead head, Workspace workspace) {
        Stream<String> others =
                HeaderLines.filterByName(head.headers(), name -> !CREDENTIALS.contains(name.toLowerCase(Locale.ROOT)))
                        .stream();
        return new HttpRequestHead(
                head.method(),
                head.path(),
                head.query(),
                Stream.concat(others, Stream.of(WORKSPACE, workspace.name())).toList());
    }
}
