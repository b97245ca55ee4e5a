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
    private final ToDoubleBiFunction<Account, RoutingRequest> cost;
    private final Predicate<String> usable;
    private final Map<String, Account> accounts = new HashMap<>();
    private final Map<String, Attempt> attempts = new HashMap<>();
    private List<Account> order = List.of();
    private long choices;

    private BaselineRouter(ToDoubleBiFunction<Account, RoutingRequest> cost, Predicate<String> usable) {
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
    static BaselineRouter informed(ToDoubleBiFunction<Account, RoutingRequest> cost, Predicate<String> usable) {
        return new BaselineRouter(cost, usable);
    }

    /** Outstanding work of one upstream as this router has counted it. */
    static final class Account {
        RoutableUpstream upstream;
        int inFlight;
        double promptTokens;
        long lastChoice;

        Account(RoutableUpstream upstream) {
            this.upstream = upstream;
        }
    }

    /**
     * A routed attempt.
     *
     * @param promptDone one element that is set once the prefill has been taken off the account
     */
    private record Attempt(Account prompt, Account output, double promptTokens, boolean[] promptDone) {}

    @Override
    public void updateUpstreams(List<RoutableUpstream> upstreams, long nowMillis) {
        order = upstreams.stream().map(this::account).toList();
    }

    private Account account(RoutableUpstream upstream) {
        Account account = accounts.computeIfAbsent(upstream.upstreamId(), id -> new Account(upstream));
        account.upstream = upstream;
        return account;
    }

    @Override
    public Optional<RoutingDecision> choose(String attemptId, RoutingRequest request, long nowMillis) {
        Optional<Account> output =
                lowest(request, account -> account.upstream.role().supportsDecode());
        if (output.isEmpty()) {
            return Optional.empty();
        }
        boolean split = !output.get().upstream.role().supportsPrefill();
        Optional<Account> prompt =
                split ? lowest(request, account -> !account.upstream.role().supportsDecode()) : output;
        return prompt.map(account -> start(attemptId, request, account, output.get()));
    }

    /**
     * Returns the usable upstream with the lowest cost; of equal ones the least recently picked. A loop rather than a
     * stream, since this scan takes the largest share of the time of a benchmark run.
     */
    private Optional<Account> lowest(RoutingRequest request, Predicate<Account> stage) {
        Account best = null;
        double bestCost = Double.MAX_VALUE;
        for (Account account : order) {
            if (!open(account, request) || !stage.test(account)) {
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

    private boolean open(Account account, RoutingRequest request) {
        RoutableUpstream upstream = account.upstream;
        return account.inFlight < upstream.maxInFlight()
                && upstream.pool().equals(request.pool())
                && !request.excluded().contains(upstream.upstreamId())
                && usable.test(upstream.upstreamId());
    }

    private RoutingDecision start(String attemptId, RoutingRequest request, Account prompt, Account output) {
        prompt.lastChoice = ++choices;
        prompt.inFlight++;
        prompt.promptTokens += request.promptTokens();
        output.lastChoice = choices;
        output.inFlight += output == prompt ? 0 : 1;
        attempts.put(attemptId, new Attempt(prompt, output, request.promptTokens(), new boolean[1]));
        Optional<String> prefill = output == prompt ? Optional.empty() : Optional.of(prompt.upstream.upstreamId());
        return new RoutingDecision(prefill, output.upstream.upstreamId());
    }

    @Override
    public void onFirstToken(String attemptId, long nowMillis) {
        Optional.ofNullable(attempts.get(attemptId)).ifPresent(BaselineRouter::endPrompt);
    }

    private static void endPrompt(Attempt attempt) {
        if (!attempt.promptDone[0]) {
            attempt.promptDone[0] = true;
            attempt.prompt.promptTokens -= attempt.promptTokens;
            attempt.prompt.inFlight -= attempt.prompt == attempt.output ? 0 : 1;
        }
    }

    @Override
    public void onTokens(String attemptId, int tokens, long nowMillis) {}

    @Override
    public void onFinished(String attemptId, AttemptOutcome outcome, long nowMillis) {
        Optional.ofNullable(attempts.remove(attemptId)).ifPresent(attempt -> {
            endPrompt(attempt);
            attempt.output.inFlight--;
        });
    }

    @Override
    public void onLoadReport(String upstreamId, int running, int queued, long nowMillis) {}
}
