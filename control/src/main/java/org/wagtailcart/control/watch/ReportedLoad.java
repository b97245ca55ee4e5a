package org.wagtailcart.control.watch;

import java.util.List;
import java.util.Map;
import org.wagtailcart.policy.share.WorkspaceDemand;

/**
 * Load that gateways have reported to a control member.
 *
 * @param gateways gateways that poll this member
 * @param requestsByUpstream requests in flight by instance id, without idle upstreams
 * @param demand demand of the workspaces that had requests lately, by gateway
 */
public record ReportedLoad(int gateways, Map<String, Integer> requestsByUpstream, List<WorkspaceDemand> demand) {}
