package org.wagtailcart.gateway.share;

/**
 * State of a workspace with a quota at one gateway, for operators.
 *
 * @param workspace the workspace
 * @param quotaPerSecond requests that all gateways together admit in a second
 * @param allowedPerSecond part of the quota that this gateway may admit
 * @param askedPerSecond requests that arrived in the last second
 * @param refusedPerSecond requests of these that did not run, because of the quota or for another reason
 */
public record QuotaState(
        String workspace,
        double quotaPerSecond,
        double allowedPerSecond,
        double askedPerSecond,
        double refusedPerSecond) {}
