package org.wagtailcart.policy.placement;

import static com.google.common.truth.Truth.assertThat;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wagtailcart.common.Regions;

/**
 * Guards against placements that prefill shared segments more than once, wait in long queues or cross regions
 * needlessly.
 */
class PromptPlacementTest {
    private static final PromptPlacement.EngineRates RATES = new PromptPlacement.EngineRates(50, 1_000);
    private static final Location FES =
            new Location("fes", new Regions(Map.of("fes", "north", "rabat", "north", "agadir", "south")));
    private static final PromptPlacement.PromptSize MANUAL = new PromptPlacement.PromptSize(17_000, 13_300, "manual-7");

    private static EngineCandidate engine(String id, boolean prefill, long queuedTokens, int cachedTokens) {
        return new EngineCandidate(id, "fes", prefill, 64, 0, queuedTokens, cachedTokens, 1, 0);
    }

    private static PromptPlacement.Choice choose(List<EngineCandidate> engines, PromptPlacement.PromptSize size) {
        return PromptPlacement.choose(engines, size, RATES, FES).orElseThrow();
    }

    private static String prefillEngine(PromptPlacement.Choice choice) {
        EngineCandidate prefill = choice.prefill();
        return prefill == null ? choice.decode().id() : prefill.id();
    }

    /** Guards against gateways that prefill a new segment at different engines. */
    @Test
    void anUncachedSegmentIsPrefilledAtTheSameEngineForAnyListOrder() {
        List<EngineCandidate> engines =
                IntStream.range(0, 9).mapToObj(i -> engine("e" + i, true, 0, 0)).collect(Collectors.toList());
        engines.add(engine("d", false, 0, 0));
        String first = prefillEngine(choose(engines, MANUAL));
        java.util.Collections.reverse(engines);
        assertThat(prefillEngine(choose(engines, MANUAL))).isEqualTo(first);
    }

    /** Guards against shared segments that are prefilled in two pools of engines because one of them is a little faster. */
    @ParameterizedTest
    @CsvSource({"0, 1", "5_000, 1", "40_000, 2"})
    void sharedSegmentsStayInTheirPoolUnlessItsQueueIsLong(String queuedTokens, int expectedPool) {
        long queued = Long.parseLong(queuedTokens.replace("_", ""));
        Stream<PromptPlacement.Choice> choices = Stream.of(
                choose(List.of(engine("p1", true, queued, 13_300), engine("d1", false, 0, 0)), MANUAL),
                choose(List.of(engine("p2", true, 0, 0), engine("d2", false, 0, 0)), MANUAL));
        assertThat(prefillEngine(
                        PromptPlacement.chooseAmongPools(choices, MANUAL, RATES).orElseThrow()))
                .isEqualTo("p" + expectedPool);
    }

    /** Guards against a hash that assigns most segments to few engines. */
    @Test
    void newSegmentsAreSpreadOverTheEngines() {
        List<EngineCandidate> engines = IntStream.range(0, 10)
                .mapToObj(i -> engine("e" + i, i < 9, 0, 0))
                .toList();
        Map<String, Long> segmentsByEngine = IntStream.range(0, 900)
                .mapToObj(i ->
                        prefillEngine(choose(engines, new PromptPlacement.PromptSize(17_000, 13_300, "part-" + i))))
                .collect(Collectors.groupingBy(id -> id, Collectors.counting()));
        assertThat(segmentsByEngine.values().stream()
                        .mapToLong(Long::longValue)
                        .max()
                        .orElse(0))
                .isLessThan(160);
        assertThat(segmentsByEngine).hasSize(9);
    }

    /** Guards against a request that waits for the engine with its prefix cached while another engine is idle. */
    @ParameterizedTest
    @CsvSource({"0, holder, false", "1000, holder, false", "60000, free, true"})
    void aLongQueueMovesTheRequestToAnIdleEngineThatFetchesThePrefix(
            long queuedTokens, String prefill, boolean fetches) {
        PromptPlacement.Choice choice = choose(
                List.of(
                        engine("holder", true, queuedTokens, 13_300),
                        engine("free", true, 0, 0),
                        engine("decode", false, 100_000, 0)),
                MANUAL);
        assertThat(prefillEngine(choice)).isEqualTo(prefill);
        assertThat(choice.prefixSource() != null).isEqualTo(fetches);
        assertThat(choice.prefillTokens()).isEqualTo(3_700);
    }

    /**
     * Load pattern: the shared segments of all prompts exceed the caches of all engines. Guards against a short queue at
     * the owner of a segment that spreads copies of it, each of which evicts another segment.
     */
    @ParameterizedTest
    @CsvSource({"0, true", "5000, true", "60000, false"})
    void aShortQueueAtItsOwnerDoesNotCopyASegmentToOtherEngines(long queuedTokens, boolean staysAtOwner) {
        List<EngineCandidate> idle = IntStream.range(0, 6)
                .mapToObj(i -> engine("e" + i, i < 5, 0, 0))
                .toList();
        String owner = prefillEngine(choose(withDecode(idle), MANUAL));
        List<EngineCandidate> engines = idle.stream()
                .map(engine -> engine.id().equals(owner) ? engine(owner, true, queuedTokens, 13_300) : engine)
                .toList();
        assertThat(prefillEngine(choose(engines, MANUAL)).equals(owner)).isEqualTo(staysAtOwner);
    }

    /** Guards against a short prompt that queues behind long ones. */
    @ParameterizedTest
    @CsvSource({"1460, 0, true", "1460, 200000, false", "17000, 0, false"})
    void aShortPromptIsPrefilledByTheDecodeEngineWhenThatIsFaster(
            int promptTokens, long decodeQueueTokens, boolean local) {
        PromptPlacement.Choice choice = choose(
                List.of(engine("prefill", true, 20_000, 0), engine("decode", false, decodeQueueTokens, 0)),
                new PromptPlacement.PromptSize(promptTokens, 0, ""));
        assertThat(choice.prefill() == null).isEqualTo(local);
    }

    @Test
    void withoutADecodeEngineThereIsNoPlacement() {
        assertThat(PromptPlacement.choose(List.of(engine("p", true, 0, 0)), MANUAL, RATES, FES))
                .isEmpty();
    }

    @Test
    void withoutAPrefillEngineTheDecodeEnginePrefills() {
        assertThat(choose(List.of(engine("d", false, 0, 0)), MANUAL).prefill()).isNull();
    }

    /**
     * Guards against needless transfers between failure domains, which take twice the time, and against a busy decode
     * engine chosen only because it is near.
     */
    @ParameterizedTest
    @CsvSource({"0, near", "4, near", "20, far"})
    void theDecodeEngineIsInTheFailureDomainOfThePrefillEngineUnlessItIsBusy(int nearRequests, String chosen) {
        EngineCandidate near = new EngineCandidate("near", "fes", false, 64, nearRequests, 0, 0, 1, 0);
        EngineCandidate far = new EngineCandidate("far", "rabat", false, 64, 0, 0, 0, 1, 0);
        PromptPlacement.Choice choice = choose(List.of(engine("p", true, 0, 0), near, far), MANUAL);
        assertThat(choice.decode().id()).isEqualTo(chosen);
    }

    /**
     * Guards against streams on a decode engine behind a slow link; of few engines it would get a third of all streams.
     */
    @ParameterizedTest
    @CsvSource({"0, near", "30, near", "900, far"})
    void anEngineWithAStartDelayDecodesOnlyWhenTheDelayIsSmall(double delayMillis, String chosen) {
        EngineCandidate near = new EngineCandidate("near", "fes", false, 64, 2, 0, 0, 1, delayMillis);
        EngineCandidate far = new EngineCandidate("far", "rabat", false, 64, 2, 0, 0, 1, 0);
        PromptPlacement.Choice choice = choose(List.of(engine("p", true, 0, 0), near, far), MANUAL);
        assertThat(choice.decode().id()).isEqualTo(chosen);
        assertThat(choice.times().firstTokenMillis()).isAtLeast(choice.decode().startDelayMillis());
    }

    /** Guards against a prefill engine with slow KV cache transfer that is chosen for its cached segments. */
    @Test
    void anEngineWithSlowKvTransferDoesNotPrefill() {
        EngineCandidate slow = new EngineCandidate("slow", "fes", true, 64, 2, 0, 13_300, 1, 900);
        assertThat(prefillEngine(choose(List.of(slow, engine("sound", true, 0, 0), engine("d", false, 0, 0)), MANUAL)))
                .isEqualTo("sound");
    }

    /**
     * Guards against needless transfers between regions, which take ten times as long and delay all others on both
     * links.
     */
    @ParameterizedTest
    @CsvSource({"0, 3, near, near-decode", "5000, 40, near, near-decode", "60000, 3, far, far-decode"})
    void promptsAndTheirKvCacheStayInTheRegionUnlessItIsOverloaded(
            long queuedTokens, int requests, String prefill, String decode) {
        EngineCandidate near = new EngineCandidate("near", "rabat", true, 64, 0, queuedTokens, 0, 1, 0);
        EngineCandidate far = new EngineCandidate("far", "agadir", true, 64, 0, 0, 0, 1, 0);
        EngineCandidate nearDecode = new EngineCandidate("near-decode", "fes", false, 64, requests, 100_000, 0, 1, 0);
        EngineCandidate farDecode = new EngineCandidate("far-decode", "agadir", false, 64, 0, 100_000, 0, 1, 0);
        PromptPlacement.Choice choice =
                choose(List.of(near, far, nearDecode, farDecode), new PromptPlacement.PromptSize(4_000, 0, ""));
        assertThat(prefillEngine(choice)).isEqualTo(prefill);
        assertThat(choice.decode().id()).isEqualTo(decode);
    }

    /**
     * Guards against a fetch from another region that is slower than prefill; each region caches its own copy of a
     * segment.
     */
    @Test
    void aSegmentIsPrefilledAgainRatherThanFetchedFromAnotherRegionWhenThatIsFaster() {
        EngineCandidate near = engine("near", true, 0, 0);
        EngineCandidate far = new EngineCandidate("far", "agadir", true, 64, 0, 0, 2_000, 1, 0);
        PromptPlacement.Choice choice = PromptPlacement.choose(
                        List.of(near, far, engine("d", false, 100_000, 0)),
                        new PromptPlacement.PromptSize(3_000, 2_000, "part"),
                        new PromptPlacement.EngineRates(50, 500),
                        FES)
                .orElseThrow();
        assertThat(prefillEngine(choice)).isEqualTo("near");
        assertThat(choice.prefixSource()).isNull();
    }

    /** Guards against prefill at a busy decode engine, which would slow its streams. */
    @Test
    void aShortPromptIsNotPrefilledAtABusyDecodeEngine() {
        PromptPlacement.PromptSize prompt = new PromptPlacement.PromptSize(1_000, 0, "");
        EngineCandidate busy = new EngineCandidate("busy", "fes", false, 64, 40, 0, 0, 1, 0);
        assertThat(choose(List.of(engine("p", true, 60_000, 0), busy), prompt).prefill())
                .isNotNull();
        EngineCandidate idle = new EngineCandidate("idle", "fes", false, 64, 1, 0, 0, 1, 0);
        assertThat(choose(List.of(engine("p", true, 60_000, 0), idle), prompt).prefill())
                .isNull();
    }

    private static EngineCandidate engineOfSpeed(String id, double speed, long queuedTokens, int cachedTokens) {
        return new EngineCandidate(id, "fes", true, 64, 0, queuedTokens, cachedTokens, 1, 0, speed);
    }

    /** Adds a decode engine that is too busy to prefill prompts. */
    private static List<EngineCandidate> withDecode(List<EngineCandidate> engines) {
        return Stream.concat(engines.stream(), Stream.of(engine("decode", false, 100_000, 0)))
                .toList();
    }

    private static String ownerOf(List<EngineCandidate> engines, String affinity) {
        return prefillEngine(choose(withDecode(engines), new PromptPlacement.PromptSize(1_000, 900, affinity)));
    }

    /** Guards against a fleet of equal speed whose segments move to other owners, which evicts cached ones. */
    @ParameterizedTest
    @CsvSource({"1", "0.7", "1.7"})
    void equalSpeedsKeepTheOrderOfUnweightedHashing(double speed) {
        List<EngineCandidate> engines = IntStream.range(0, 30)
                .mapToObj(i -> engineOfSpeed("e" + i, speed, 0, 0))
                .toList();
        IntStream.range(0, 2_000).mapToObj(i -> "part-" + i).forEach(affinity -> assertThat(ownerOf(engines, affinity))
                .isEqualTo(engines.stream()
                        .map(EngineCandidate::id)
                        .max(Comparator.comparing(id -> PromptPlacement.rendezvousWeight(affinity, id)))
                        .orElseThrow()));
    }

    /** Guards against slow engines that own as many segments as fast ones and become the bottleneck. */
    @Test
    void enginesOwnSegmentsInProportionToTheirSpeed() {
        List<EngineCandidate> engines = IntStream.range(0, 30)
                .mapToObj(i -> engineOfSpeed("e" + i, i % 3 == 0 ? 1.2 : 1, 0, 0))
                .toList();
        double fast = IntStream.range(0, 6_000)
                .mapToObj(i -> ownerOf(engines, "part-" + i))
                .filter(id -> Integer.parseInt(id.substring(1)) % 3 == 0)
                .count();
        assertThat(fast / 6_000).isWithin(0.03).of(1.2 * 10 / (1.2 * 10 + 20));
    }

    /** Guards against an uncached segment that waits behind the long queue of its owner where speeds differ. */
    @ParameterizedTest
    @CsvSource({"0, true", "5000, true", "40000, false"})
    void anOverloadedOwnerDoesNotGetAnotherNewSegment(long queuedTokens, boolean staysAtOwner) {
        List<EngineCandidate> idle = IntStream.range(0, 6)
                .mapToObj(i -> engineOfSpeed("e" + i, i == 0 ? 1.3 : 1, 0, 0))
                .toList();
        String owner = prefillEngine(choose(withDecode(idle), MANUAL));
        List<EngineCandidate> busy = idle.stream()
                .map(engine ->
                        engineOfSpeed(engine.id(), engine.speed(), engine.id().equals(owner) ? queuedTokens : 0, 0))
                .toList();
        assertThat(prefillEngine(choose(withDecode(busy), MANUAL)).equals(owner))
                .isEqualTo(staysAtOwner);
    }

    /** Guards against a prompt that waits for a slow engine while a fast one has a shorter time, despite its queue. */
    @ParameterizedTest
    @CsvSource({"0, fast", "10000, fast", "40000, slow"})
    void theQueueIsWeighedByTheSpeedOfTheEngine(long queuedTokens, String expected) {
        PromptPlacement.Choice choice = choose(
                List.of(
                        engineOfSpeed("fast", 2.4, queuedTokens, 0),
                        engineOfSpeed("slow", 1, 0, 0),
                        engine("decode", false, 100_000, 0)),
                new PromptPlacement.PromptSize(17_000, 0, ""));
        assertThat(prefillEngine(choice)).isEqualTo(expected);
    }

    /** Guards against a fast decode engine that gets no more streams than a slow one. */
    @ParameterizedTest
    @CsvSource({"10, fast", "20, fast", "30, slow"})
    void theLoadOfADecodeEngineIsWeighedByItsSpeed(int requests, String expected) {
        EngineCandidate fast = new EngineCandidate("fast", "fes", false, 64, requests, 0, 0, 1, 0, 2.4);
        EngineCandidate slow = new EngineCandidate("slow", "fes", false, 64, 10, 0, 0, 1, 0, 1);
        EngineCandidate prefill = engine("prefill", true, 0, 0);
        assertThat(PromptPlacement.chooseDecode(List.of(fast, slow, prefill), prefill, FES)
                        .orElseThrow()
                        .id())
                .isEqualTo(expected);
    }
}
