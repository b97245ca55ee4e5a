package org.wagtailcart.policy.role;

import org.wagtailcart.common.EngineRole;

/** Planned role change of an engine. */
public record RoleChange(String upstreamId, EngineRole from, EngineRole to) {}
