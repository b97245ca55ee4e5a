package org.wagtailcart.gateway;

import java.util.List;
import java.util.Optional;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.gateway.call.GatewayContext;
import org.wagtailcart.gateway.watch.RouteTableWatcher;
import org.wagtailcart.routes.Route;
import org.wagtailcart.routes.RouteIndex;
import org.wagtailcart.workspace.KeyDecision;
import org.wagtailcart.workspace.PresentedKey;
import org.wagtailcart.workspace.RevocationPolicy;
import org.wagtailcart.workspace.Workspace;
import org.wagtailcart.workspace.WorkspaceAuthenticator;

/** Check of the API keys of callers against the routing table in force. */
final class KeyCheck {
    private final GatewayContext context;
    private final RevocationPolicy revocation;

    KeyCheck(GatewayContext context, RevocationPolicy revocation) {
        this.context = context;
        this.revocation = revocation;
    }

    /**
     * Returns the workspace of a request, empty if the table has no workspaces, or if the route needs no key and the
     * request has none that is valid.
     *
     * @throws WagtailcartException if the route needs a key and the request is refused for it
     */
    Optional<Workspace> workspaceOf(RouteIndex routes, Route route, List<String> headers) {
        return routes.authenticator()
                .flatMap(authenticator -> route.open()
                        ? authenticator.find(context.protocol().parseKey(headers))
                        : authenticate(authenticator, routes, headers));
    }

    private Optional<Workspace> authenticate(
            WorkspaceAuthenticator authenticator, RouteIndex routes, List<String> headers) {
        RouteTableWatcher watcher = context.routeWatcher();
        PresentedKey key = context.protocol().parseKey(headers);
        // A table is installed before it is confirmed, so that a confirmation of the next table is not taken for one of
        // this table.
        boolean confirmed = watcher.confirmed() && watcher.routes() == routes;
        KeyDecision decision = authenticator.decide(key, confirmed, watcher.ageMillis(), revocation);
        decision.verdict().refusal().ifPresent(code -> {
            context.metrics().recordKeyRefused(decision.verdict());
            throw new WagtailcartException(code, decision.verdict().text());
        });
        return decision.workspace();
    }
}
