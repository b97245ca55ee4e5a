package org.wagtailcart.policy.routing;

/** Upstreams of one pool that have room, by stage. */
final class PoolUpstreams {
    /** Prefill engines; mixed engines process the prompts of their own requests. */
    final OpenSet prompt = new OpenSet(UpstreamLoad.PROMPT_SLOT);
    /** Decode and mixed engines, and plain services. */
    final OpenSet output = new OpenSet(UpstreamLoad.OUTPUT_SLOT);

    void refresh(UpstreamLoad load) {
        OpenSet set = load.role().takesOutput() ? output : prompt;
        if (load.hasRoom()) {
            set.add(load);
        } else {
            set.remove(load);
        }
    }

    void remove(UpstreamLoad load) {
        prompt.remove(load);
        output.remove(load);
    }
}
