package org.wagtailcart.gateway;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.control.client.OutstandingWork;
import org.wagtailcart.control.client.SegmentQuarantineEntry;
import org.wagtailcart.gateway.list.UpstreamState;
import org.wagtailcart.gateway.report.UsageMeter;
import org.wagtailcart.gateway.share.QuotaState;
import org.wagtailcart.gateway.share.WorkspaceState;

/**
 * Snapshot of a gateway's state for operators.
 *
 * @param ready whether a load balancer may send new requests to this gateway
 * @param draining whether the gateway is shutting down
 * @param tableVersion version of the routing table in force, 0 for none
 * @param tableAgeMillis time since a quorum of control members confirmed that table
 * @param listAgeMillis age of the host list in force
 * @param gateways number of gateways that share the retry budgets
 * @param openRequests number of requests without a complete response
 * @param retriesLeft lowest number of remaining retries of any service
 * @param upstreams upstreams in the host list
 * @param work requests and queued prompt tokens of this gateway at each upstream
 * @param sharesKnown whether the leader's shares of workspaces are known; otherwise the gateway limits by its own demand
 * @param workspaces workspaces with recent demand, at most 100
 * @param quarantined prompt segments whose requests are refused
 * @param keys workspaces and the check of their keys
 * @param usage counts of requests that began to run, null if they are not counted
 * @param quotas workspaces with a quota and recent requests, at most 100
 */
public record GatewayDump(
        boolean ready,
        boolean draining,
        long tableVersion,
        long tableAgeMillis,
        long listAgeMillis,
        int gateways,
        int openRequests,
        int retriesLeft,
        List<UpstreamState> upstreams,
        List<OutstandingWork> work,
        boolean sharesKnown,
        List<WorkspaceState> workspaces,
        List<SegmentQuarantineEntry> quarantined,
        KeyDump keys,
        UsageMeter.@Nullable Dump usage,
        List<QuotaState> quotas) {}
