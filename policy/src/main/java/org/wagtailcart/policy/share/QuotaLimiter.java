package org.wagtailcart.policy.share;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.stream.Collectors;
import org.wagtailcart.common.StableHash;

/**
 * Limits the requests that this gateway admits of workspaces with a quota. The leader of the control group says which
 * part of a quota this gateway may admit; without a current account of the leader it is the quota divided by the number
 * of gateways. Rounded up to a whole number of requests n, a part of a per second is n requests in n / a seconds.
 * Deterministic; not thread safe.
 */
public final class QuotaLimiter {
    /** Wait of a request of which no part of the quota is left here; the leader changes the parts twice a second. */
    private static final long NO_PART_WAIT_MILLIS = 500;

    /** Time after which an admission matters only as the latest one: a part above 1 is counted over less than 2 s. */
    private static final long ADMISSION_MILLIS = 2_000;

    /** Time over which a changed part takes effect, so that what moves between gateways is not used by both. */
    private static final long PART_MILLIS = 1_000;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final String gatewayId;
    private final DemandMeter meter = new DemandMeter();
    private final Map<String, Counter> countersByWorkspace = new HashMap<>();
    private Map<String, Double> quotas = Map.of();
    private Map<String, Double> fractions = Map.of();
    /** Number of gateways at the latest request. */
    private int lastGateways = 1;

    private long quotasSinceMillis = Long.MIN_VALUE / 4;
    private long accountExpiresAtMillis = Long.MIN_VALUE / 4;

    /** Part of a quota since a time. */
    private record Part(long sinceMillis, double perSecond) {}

    /** What this gateway has admitted lately of one workspace, and might have. */
    private static final class Counter {
        private final Deque<Long> admissions = new ArrayDeque<>();
        private final Deque<Part> parts = new ArrayDeque<>();

        /** Records the present part, and returns the mean of those of the last second. */
        double meanPart(double perSecond, long nowMillis) {
            if (parts.isEmpty() || parts.getLast().perSecond() != perSecond) {
                parts.addLast(new Part(nowMillis, perSecond));
            }
            while (parts.size() > 1 && second(parts).sinceMillis() <= nowMillis - PART_MILLIS) {
                parts.removeFirst();
            }
            double sum = 0;
            long fromMillis = nowMillis - PART_MILLIS;
            double inForce = parts.getFirst().perSecond();
            for (Part part : parts) {
                long sinceMillis = Math.max(fromMillis, part.sinceMillis());
                sum += inForce * (sinceMillis - fromMillis);
                fromMillis = sinceMillis;
                inForce = part.perSecond();
            }
            return (sum + inForce * (nowMillis - fromMillis)) / PART_MILLIS;
        }

        private static Part second(Deque<Part> parts) {
            return parts.stream().skip(1).findFirst().orElseThrow();
        }
    }

    /** Creates a limiter without quotas. */
    public QuotaLimiter(String gatewayId) {
        this.gatewayId = gatewayId;
    }

    /** Replaces the quotas, in requests per second of all gateways. */
    public void quotas(Map<String, Double> perSecondByWorkspace, long nowMillis) {
        quotas = perSecondByWorkspace;
        quotasSinceMillis = nowMillis;
        countersByWorkspace.keySet().retainAll(quotas.keySet());
    }

    /** Replaces the parts of the quotas that the leader grants to this gateway. */
    public void applyAccount(List<WorkspaceShare> parts, long receivedAtMillis) {
        fractions = parts.stream()
                .collect(Collectors.toMap(WorkspaceShare::workspace, WorkspaceShare::admitFraction, Math::min));
        accountExpiresAtMillis = receivedAtMillis + ShareLimiter.SHARES_VALID_MILLIS;
        countersByWorkspace.forEach((workspace, counter) ->
                counter.meanPart(allowedPerSecond(workspace, lastGateways, receivedAtMillis), receivedAtMillis));
    }

    /** Returns the quota of a workspace, 0 if it has none. */
    public double quota(String workspace) {
        return quotas.getOrDefault(workspace, 0.0);
    }

    /** Returns the number of workspaces with a quota. */
    public int quotaCount() {
        return quotas.size();
    }

    /** Returns the requests of a workspace with a quota that this gateway may admit in a second. */
    public double allowedPerSecond(String workspace, int gateways, long nowMillis) {
        double quota = quota(workspace);
        double ownPart = 1.0 / Math.max(1, gateways);
        if (nowMillis >= accountExpiresAtMillis) {
            return quota * ownPart;
        }
        // The leader lists all workspaces with requests if there is room, so that a missing one has its whole quota
        // left.
        boolean complete = fractions.size() < QuotaAccount.MAX_PARTS;
        double unlisted = complete ? QuotaAccount.fraction(quota, 0, 0, 0, gateways) : ownPart;
        return quota * fractions.getOrDefault(workspace, unlisted);
    }

    /**
     * Admits a request if its workspace has no quota or a part of it is left here.
     *
     * @return empty if the request is admitted, otherwise the time until the next one can be
     */
    public OptionalLong tryAdmit(String workspace, int gateways, long nowMillis) {
        if (!quotas.containsKey(workspace)) {
            return OptionalLong.empty();
        }
        lastGateways = gateways;
        Counter counter = countersByWorkspace.computeIfAbsent(workspace, name -> create(name, gateways));
        double perSecond = counter.meanPart(allowedPerSecond(workspace, gateways, nowMillis), nowMillis);
        OptionalLong waitMillis = waitMillis(counter.admissions, perSecond, nowMillis);
        if (waitMillis.isPresent()) {
            meter.recordRefused(QuotaAccount.SERVICE, workspace, 1, nowMillis);
        } else {
            meter.recordAdmitted(QuotaAccount.SERVICE, workspace, 1, false, nowMillis);
            counter.admissions.addLast(nowMillis);
        }
        return waitMillis;
    }

    private static OptionalLong waitMillis(Deque<Long> admissions, double perSecond, long nowMillis) {
        if (perSecond <= 0) {
            return OptionalLong.of(NO_PART_WAIT_MILLIS);
        }
        while (admissions.size() > 1 && admissions.getFirst() <= nowMillis - ADMISSION_MILLIS) {
            admissions.removeFirst();
        }
        double requests = Math.ceil(perSecond);
        long windowStartMillis = nowMillis - (long) Math.ceil(MILLIS_PER_SECOND * requests / perSecond);
        long withinWindow =
                admissions.stream().filter(millis -> millis > windowStartMillis).count();
        return withinWindow < requests
                ? OptionalLong.empty()
                : admissions.stream()
                        .skip(admissions.size() - (long) requests)
                        .mapToLong(millis -> millis - windowStartMillis)
                        .findFirst();
    }

    /**
     * Returns the counter of a workspace without requests so far. A gateway whose part is less than one request per
     * second starts as if it had admitted one before, at a time that differs between gateways; otherwise all of them
     * would admit one at once.
     */
    private Counter create(String workspace, int gateways) {
        Counter counter = new Counter();
        double ownPart = quota(workspace) / Math.max(1, gateways);
        if (ownPart < 1) {
            double phase = (StableHash.of(gatewayId + "@" + workspace) >>> 11) * 0x1.0p-53;
            counter.admissions.addLast(quotasSinceMillis - (long) (phase * MILLIS_PER_SECOND / ownPart));
        }
        return counter;
    }

    /** Takes back the admission of a request that ended without having run. One that no longer counts has no effect. */
    public void withdraw(String workspace, long admittedAtMillis, long nowMillis) {
        Counter counter = countersByWorkspace.get(workspace);
        if (counter != null && counter.admissions.removeLastOccurrence(admittedAtMillis)) {
            meter.recordRefusedByUpstreams(QuotaAccount.SERVICE, workspace, 1, nowMillis);
        }
    }

    /** Returns the requests of the last second of workspaces with a quota, for the account of the leader. */
    public List<WorkspaceDemand> demand(long nowMillis) {
        return meter.demand(nowMillis);
    }
}
