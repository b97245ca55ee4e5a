package org.wagtailcart.bench;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.ToDoubleBiFunction;
import org.wagtailcart.policy.routing.AttemptOutcome;
import org.wagtailcart.policy.routing.RoutableUpstream;
import org.wagtailcart.policy.routing.Router;
import org.wagtailcart.policy.routing.RoutingDecision;
import org.wagtailcart.policy.routing.RoutingRequest;

/** Router that scans all upstreams below their in-flight limit and picks the one with the lowest cost. */
final class BaselineRouter implements Router {
    private final ToDoubleBiFunction<OutstandingLoad, RoutingRequest> cost;
    private final Predicate<String> usable;
    private final Map<String, OutstandingLoad> accounts = new HashMap<>();
    private final Map<String, Attempt> attempts = new HashMap<>();
    private List<OutstandingLoad> loads = List.of();
    private long choiceCount;

    private BaselineRouter(ToDoubleBiFunction<OutstandingLoad, RoutingRequest> cost, Predicate<String> usable) {
        this.cost = cost;
        this.usable = usable;
    }

    /** Returns a router that picks the upstream whose latest pick is the oldest. */
    static BaselineRouter roundRobin() {
        return new BaselineRouter((account, request) -> account.lastChoice, id -> true);
    }

    /** Returns a router that picks the upstream with the fewest requests in flight. */
    static BaselineRouter leastInFlight() {
        return new BaselineRouter((account, request) -> account.inFlight, id -> true);
    }

    /**
     * Returns a router with the given cost function, which may read the true state of upstreams.
     *
     * @param usable whether the upstream with the given id accepts requests now
     */
    static BaselineRouter informed(ToDoubleBiFunction<OutstandingLoad, RoutingRequest> cost, Predicate<String> usable) {
        return new BaselineRouter(cost, usable);
    }

    /** Outstanding work of one upstream as this router has counted it. */
    static final class OutstandingLoad {
        RoutableUpstream upstream;
        int inFlight;
        double promptTokens;
        long lastChoice;

        OutstandingLoad(RoutableUpstream upstream) {
            this.upstream = upstream;
        }
    }

    /**
     * A routed attempt.
     *
     * @param prefillDone one element that is set once the prefill has been taken off the account
     */
    private record Attempt(
            OutstandingLoad prefill, OutstandingLoad decode, double promptTokens, boolean[] prefillDone) {}

    @Override
    public void updateUpstreams(List<RoutableUpstream> upstreams, long nowMillis) {
        loads = upstreams.stream().map(this::account).toList();
    }

    private OutstandingLoad account(RoutableUpstream upstream) {
        OutstandingLoad account = accounts.computeIfAbsent(upstream.upstreamId(), id -> new OutstandingLoad(upstream));
        account.upstream = upstream;
        return account;
    }

    @Override
    public Optional<RoutingDecision> choose(String attemptId, RoutingRequest request, long nowMillis) {
        Optional<OutstandingLoad> output =
                lowestCost(request, account -> account.upstream.role().supportsDecode());
        if (output.isEmpty()) {
            return Optional.empty();
        }
        boolean split = !output.get().upstream.role().supportsPrefill();
        Optional<OutstandingLoad> prompt =
                split ? lowestCost(request, account -> !account.upstream.role().supportsDecode()) : output;
        return prompt.map(account -> recordChoice(attemptId, request, account, output.get()));
    }

    /**
     * Returns the usable upstream with the lowest cost; of equal ones the least recently picked. A loop rather than a
     * stream, since this scan takes the largest share of the time of a benchmark run.
     */
    private Optional<OutstandingLoad> lowestCost(RoutingRequest request, Predicate<OutstandingLoad> stage) {
        OutstandingLoad best = null;
        double bestCost = Double.MAX_VALUE;
        for (OutstandingLoad account : loads) {
            if (!hasCapacity(account, request) || !stage.test(account)) {
                continue;
            }
            double accountCost = cost.applyAsDouble(account, request);
            boolean earlier = best == null || account.lastChoice < best.lastChoice;
            if (accountCost < bestCost || (accountCost == bestCost && earlier)) {
                best = account;
                bestCost = accountCost;
            }
        }
        return Optional.ofNullable(best);
    }

    private boolean hasCapacity(OutstandingLoad account, RoutingRequest request) {
        RoutableUpstream upstream = account.upstream;
        return account.inFlight < upstream.maxInFlight()
                && upstream.pool().equals(request.pool())
                && !request.excluded().contains(upstream.upstreamId())
                && usable.test(upstream.upstreamId());
    }

    private RoutingDecision recordChoice(
            String attemptId, RoutingRequest request, OutstandingLoad prompt, OutstandingLoad output) {
        prompt.lastChoice = ++choiceCount;
        prompt.inFlight++;
        prompt.promptTokens += request.promptTokens();
        output.lastChoice = choiceCount;
        output.inFlight += output == prompt ? 0 : 1;
        attempts.put(attemptId, new Attempt(prompt, output, request.promptTokens(), new boolean[1]));
        Optional<String> prefill = output == prompt ? Optional.empty() : Optional.of(prompt.upstream.upstreamId());
        return new RoutingDecision(prefill, output.upstream.upstreamId());
    }

    @Override
    public void onFirstToken(String attemptId, long nowMillis) {
        Optional.ofNullable(attempts.get(attemptId)).ifPresent(BaselineRouter::endPrefill);
    }

    private static void endPrefill(Attempt attempt) {
        if (!attempt.prefillDone[0]) {
            attempt.prefillDone[0] = true;
            attempt.prefill.promptTokens -= attempt.promptTokens;
            attempt.prefill.inFlight -= attempt.prefill == attempt.decode ? 0 : 1;
        }
    }

    @Override
    public void onTokens(String attemptId, int tokens, long nowMillis) {}

    @Override
    public void onFinished(String attemptId, AttemptOutcome outcome, long nowMillis) {
        Optional.ofNullable(attempts.remove(attemptId)).ifPresent(attempt -> {
            endPrefill(attempt);
            attempt.decode.inFlight--;
        });
    }

    @Override
    public void onLoadReport(String upstreamId, int running, int queued, long nowMillis) {}
}
