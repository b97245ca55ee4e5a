package org.wagtailcart.policy.role;

import org.wagtailcart.common.EngineRole;

/** An engine that should change its role. */
public record RoleChange(String upstreamId, EngineRole from, EngineRole to) {}
