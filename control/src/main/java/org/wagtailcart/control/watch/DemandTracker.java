package org.wagtailcart.control.watch;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.LogEventKind;
import org.wagtailcart.policy.share.QuotaAccount;
import org.wagtailcart.policy.share.ServiceCapacity;
import org.wagtailcart.policy.share.ShareCalculator;
import org.wagtailcart.policy.share.WorkspaceDemand;
import org.wagtailcart.policy.share.WorkspaceShare;
import org.wagtailcart.workspace.WorkspaceTable;

/**
 * Adds up the demand of workspaces that gateways report and derives their shares and the parts of their quotas. Not
 * thread safe.
 */
final class DemandTracker {
    private static final Logger LOG = System.getLogger(DemandTracker.class.getName());
    /** Validity of a report: the window that it covers and two polls. */
    static final long RETENTION_MILLIS = 1_500;

    /**
     * Least time between two lists of shares for one gateway, a quarter of their validity. Sent with each poll, the lists
     * of 80 workspaces for 26 gateways take 1.9 Mbit/s.
     */
    static final long SEND_INTERVAL_MILLIS = 500;

    private record DemandReport(long expiresAtMillis, List<WorkspaceDemand> demand) {}

    private final Map<String, DemandReport> reportsByProcess = new HashMap<>();
    private final Map<String, Long> sentAtMillisByProcess = new HashMap<>();
    private final ShareCalculator calculator = new ShareCalculator();
    private final QuotaAccount quotas = new QuotaAccount();
    private @Nullable WorkspaceTable workspaces;
    private List<ServiceCapacity> contended = List.of();
    private List<WorkspaceShare> shares = List.of();
    private Set<String> loggedServices = Set.of();

    /** Installs the weights and quotas of the workspaces of a routing table. */
    void install(@Nullable WorkspaceTable table) {
        if (!Objects.equals(table, workspaces)) {
            workspaces = table;
            calculator.weights(table == null ? Map.of() : table.weightsByName());
            quotas.quotas(table == null ? Map.of() : table.quotasByName());
        }
    }

    /** Replaces the demand of a gateway. */
    void record(String processId, List<WorkspaceDemand> demand, long nowMillis) {
        quotas.record(processId, demand, nowMillis);
        List<WorkspaceDemand> ofServices = demand.stream()
                .filter(entry -> !entry.service().equals(QuotaAccount.SERVICE))
                .toList();
        reportsByProcess.put(processId, new DemandReport(nowMillis + RETENTION_MILLIS, ofServices));
    }

    /** Returns the reported demand, one item for each gateway, service and workspace. */
    List<WorkspaceDemand> demand(long nowMillis) {
        return reportsByProcess.values().stream()
                .filter(report -> report.expiresAtMillis() >= nowMillis)
                .flatMap(report -> report.demand().stream())
                .toList();
    }

    /** Returns the contended services, null during the first second, in which the shares are not known yet. */
    @Nullable
    List<ServiceCapacity> contended(long nowMillis) {
        observe(nowMillis);
        return calculator.warmedUp(nowMillis) ? contended : null;
    }

    /** Returns the workspaces that ask for more than their share of a contended service. */
    List<WorkspaceShare> shares(long nowMillis) {
        observe(nowMillis);
        return shares;
    }

    /** Returns the parts of a gateway in the quotas of workspaces. */
    List<WorkspaceShare> quotaParts(String processId, int gateways) {
        return quotas.partsOf(processId, gateways);
    }

    /** Computes the shares if that is due; many gateways ask for them. */
    private void observe(long nowMillis) {
        if (!calculator.observationDue(nowMillis)) {
            return;
        }
        reportsByProcess.values().removeIf(report -> report.expiresAtMillis() < nowMillis);
        sentAtMillisByProcess.keySet().retainAll(reportsByProcess.keySet());
        quotas.retain(reportsByProcess.keySet());
        calculator.observe(
                reportsByProcess.values().stream()
                        .flatMap(report -> report.demand().stream())
                        .toList(),
                nowMillis);
        contended = calculator.contended(nowMillis);
        shares = calculator.shares(nowMillis);
        logChange();
    }

    /** Returns whether the shares are due to be sent to a gateway; if so, they count as sent. */
    boolean sendDue(String processId, long nowMillis) {
        long sentAtMillis = sentAtMillisByProcess.getOrDefault(processId, Long.MIN_VALUE / 4);
        boolean due = calculator.warmedUp(nowMillis) && nowMillis - sentAtMillis >= SEND_INTERVAL_MILLIS;
        if (due) {
            sentAtMillisByProcess.put(processId, nowMillis);
        }
        return due;
    }

    private void logChange() {
        Set<String> services = contended.stream().map(ServiceCapacity::service).collect(Collectors.toSet());
        if (!services.equals(loggedServices)) {
            loggedServices = services;
            LogEventKind.CONTENTION_CHANGED.log(LOG, Level.INFO, services, shares.size());
        }
    }
}
