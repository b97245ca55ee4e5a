package org.wagtailcart.coordination;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.wagtailcart.common.Address;

/** Deterministic simulation of a group in virtual time: network, disks, faults and operator, all driven by one seed. */
final class SimulatedGroup {
    private record Delivery(long at, long order, RaftMessage message) {}

    private record Link(String from, String to) {}

    private static final RaftTuning TUNING = new RaftTuning(150, 1_000, 2_000, 200, 4, 64, 25, 1 << 20, 5, 1_000);
    private static final long TICK_MILLIS = 25;
    private static final Address ADDRESS = new Address("127.0.0.1", 1);

    final InvariantChecker checker = new InvariantChecker();
    /** Current member of each host; after the loss of its disk, another incarnation. */
    final Map<String, SimulatedMember> hosts = new LinkedHashMap<>();

    private final Map<MemberKey, Boolean> lostDisks = new HashMap<>();
    private final PriorityQueue<Delivery> network =
            new PriorityQueue<>(Comparator.comparingLong(Delivery::at).thenComparingLong(Delivery::order));
    private final Map<Link, Long> partitionedUntil = new HashMap<>();
    private final Set<String> isolated = new HashSet<>();
    final SplittableRandom random;
    long now = 1_000;
    boolean faults;
    private long nextDeliveryOrder;
    private long nextId = 1;
    private long nextIncarnation = 100;
    private int targetVoters;

    SimulatedGroup(long seed, int voters, int spares) {
        random = new SplittableRandom(seed);
        targetVoters = voters;
        for (int i = 1; i <= voters + spares; i++) {
            startUninitialized("m" + i);
        }
        List<Member> initialVoters = hosts.values().stream()
                .limit(voters)
                .map(member -> new Member(member.key.memberId(), member.key.incarnation(), ADDRESS, true))
                .toList();
        hosts.get("m1").bootstrap(now, initialVoters);
    }

    /** Runs the simulation for the given virtual time. */
    void run(long millis) {
        long end = now + millis;
        while (now < end) {
            now++;
            if (faults) {
                injectFault();
            }
            deliver();
            for (SimulatedMember member : List.copyOf(hosts.values())) {
                advance(member);
            }
            if (now % 20 == 0) {
                issueRequests();
            }
            if (now % 400 == 0) {
                adjustMembership();
            }
        }
    }

    /** Ends all faults and restarts the members that are down. */
    void clearFaults() {
        faults = false;
        partitionedUntil.clear();
        isolated.clear();
        hosts.values().forEach(member -> {
            member.pausedUntil = 0;
            restart(member);
        });
    }

    void isolate(String host) {
        isolated.add(host);
    }

    void reconnect(String host) {
        isolated.remove(host);
    }

    Optional<SimulatedMember> leader() {
        return hosts.values().stream()
                .filter(SimulatedMember::isLeader)
                .max(Comparator.comparingLong(member -> member.status().term()));
    }

    long highestTerm() {
        return hosts.values().stream()
                .mapToLong(member -> member.status().term())
                .max()
                .orElseThrow();
    }

    private void startUninitialized(String host) {
        MemberKey key = new MemberKey(host, nextIncarnation++);
        SimulatedMember member = new SimulatedMember(key, TUNING, checker, this::send);
        member.start(now, random.nextLong(), random.nextLong(0, 1_000_000));
        hosts.put(host, member);
    }

    private void restart(SimulatedMember member) {
        if (!member.up) {
            member.start(now, random.nextLong(), random.nextLong(0, 1_000_000));
        }
    }

    private void advance(SimulatedMember member) {
        if (!member.up || member.pausedUntil > now) {
            return;
        }
        if (member.unsyncedCount() > 0 && member.syncDueAt == 0) {
            boolean slow = faults && chance(0.1);
            member.syncDueAt = now + (slow ? random.nextLong(50, 1_500) : random.nextLong(1, 15));
        }
        if (member.syncDueAt != 0 && now >= member.syncDueAt) {
            member.syncDueAt = 0;
            member.sync(now);
        }
        if (now % TICK_MILLIS == 0) {
            member.tick(now);
        }
    }

    private void send(RaftMessage message) {
        if (faults && chance(0.02)) {
            return;
        }
        long delay = faults && chance(0.01) ? random.nextLong(500, 4_000) : random.nextLong(1, faults ? 40 : 4);
        network.add(new Delivery(now + delay, nextDeliveryOrder++, message));
        if (faults && chance(0.02)) {
            network.add(new Delivery(now + random.nextLong(1, 3_000), nextDeliveryOrder++, message));
        }
    }

    private void deliver() {
        List<Delivery> due = new ArrayList<>();
        while (!network.isEmpty() && network.peek().at() <= now) {
            due.add(network.remove());
        }
        for (Delivery delivery : due) {
            RaftMessage.Envelope envelope = delivery.message().envelope();
            SimulatedMember receiver = hosts.get(envelope.to().memberId());
            boolean partitioned = partitionedUntil.getOrDefault(
                                    new Link(
                                            envelope.from().memberId(),
                                            envelope.to().memberId()),
                                    0L)
                            > now
                    || isolated.contains(envelope.from().memberId())
                    || isolated.contains(envelope.to().memberId());
            if (partitioned || receiver == null || !receiver.up) {
                continue;
            }
            if (receiver.pausedUntil > now) {
                network.add(new Delivery(receiver.pausedUntil, delivery.order(), delivery.message()));
            } else {
                receiver.step(now, delivery.message());
            }
        }
    }

    private void injectFault() {
        if (!chance(0.004)) {
            return;
        }
        SimulatedMember member = randomHost();
        switch (random.nextInt(10)) {
            case 0, 1 -> crash(member);
            case 2 -> member.pausedUntil = now + random.nextLong(100, 8_000);
            case 3 -> partitionOneWay(member.key.memberId(), random.nextLong(200, 6_000));
            case 4, 5 -> partitionHosts(random.nextLong(500, 6_000));
            case 6 -> loseDisk(member);
            case 7 -> hosts.values().forEach(this::crash);
            case 8 -> leader().ifPresent(this::crash);
            default -> leader().filter(leader -> leader.pausedUntil <= now).ifPresent(this::transfer);
        }
        hosts.values().stream().filter(other -> chance(0.7)).forEach(this::restart);
    }

    private void transfer(SimulatedMember leader) {
        try {
            leader.transfer(now);
        } catch (org.wagtailcart.common.WagtailcartException alreadyTransferring) {
            // A transfer is already in progress.
        }
    }

    private void crash(SimulatedMember member) {
        if (member.up) {
            member.crash(random.nextInt(member.unsyncedCount() + 1));
            member.syncDueAt = 0;
        }
    }

    /** Replaces a member by one with an empty disk, if the voters that still have their disks are a quorum. */
    private void loseDisk(SimulatedMember member) {
        Optional<Membership> members = leader().map(leader -> leader.status().membership());
        if (members.isEmpty() || members.get().index() > leader().get().status().commitIndex()) {
            return;
        }
        List<MemberKey> voters = Memberships.voters(members.get());
        long alive = voters.stream()
                .filter(key -> !lostDisks.containsKey(key) && !key.equals(member.key))
                .count();
        if (2 * alive > voters.size()) {
            crash(member);
            lostDisks.put(member.key, true);
            startUninitialized(member.key.memberId());
        }
    }

    private void partitionOneWay(String host, long millis) {
        boolean outbound = chance(0.5);
        hosts.keySet().stream()
                .filter(other -> chance(0.7))
                .forEach(other ->
                        partitionedUntil.put(outbound ? new Link(host, other) : new Link(other, host), now + millis));
    }

    private void partitionHosts(long millis) {
        Set<String> side = new HashSet<>(
                hosts.keySet().stream().filter(host -> chance(0.5)).toList());
        hosts.keySet().forEach(from -> hosts.keySet().stream()
                .filter(to -> side.contains(from) != side.contains(to))
                .forEach(to -> partitionedUntil.put(new Link(from, to), now + millis)));
    }

    private void issueRequests() {
        List<SimulatedMember> running = hosts.values().stream()
                .filter(member -> member.up && member.pausedUntil <= now)
                .toList();
        running.stream().filter(member -> member.isLeader() || chance(0.05)).forEach(member -> {
            long id = nextId++;
            member.propose(now, id, "command-" + id);
            member.requestReadIndex(now, nextId++);
        });
    }

    /** Acts as the operator: replaces members with a lost disk and sometimes changes the number of voters. */
    private void adjustMembership() {
        Optional<SimulatedMember> found = leader().filter(member -> member.pausedUntil <= now);
        if (found.isEmpty()) {
            return;
        }
        SimulatedMember leader = found.get();
        Membership members = leader.status().membership();
        for (Member member : members.members()) {
            if (lostDisks.containsKey(MemberKey.of(member))) {
                leader.changeMembership(now, new MembershipChange(MembershipChange.Kind.REMOVE, member));
                return;
            }
        }
        if (faults && chance(0.05)) {
            targetVoters = random.nextInt(1, hosts.size() + 1);
        }
        adjustVoterCount(leader, members);
    }

    private void adjustVoterCount(SimulatedMember leader, Membership members) {
        List<MemberKey> voters = Memberships.voters(members);
        List<Member> learners =
                members.members().stream().filter(member -> !member.voter()).toList();
        if (voters.size() > targetVoters) {
            MemberKey victim = voters.get(random.nextInt(voters.size()));
            leader.changeMembership(now, new MembershipChange(MembershipChange.Kind.REMOVE, memberOf(victim)));
        } else if (voters.size() < targetVoters && !learners.isEmpty()) {
            leader.changeMembership(now, new MembershipChange(MembershipChange.Kind.PROMOTE, learners.get(0)));
        } else if (voters.size() + learners.size() < targetVoters) {
            hosts.values().stream()
                    .filter(member -> Memberships.find(members, member.key).isEmpty())
                    .findFirst()
                    .ifPresent(member -> leader.changeMembership(
                            now, new MembershipChange(MembershipChange.Kind.ADD_LEARNER, memberOf(member.key))));
        }
    }

    private SimulatedMember randomHost() {
        return List.copyOf(hosts.values()).get(random.nextInt(hosts.size()));
    }

    private boolean chance(double probability) {
        return random.nextDouble() < probability;
    }

    private static Member memberOf(MemberKey key) {
        return new Member(key.memberId(), key.incarnation(), ADDRESS, false);
    }
}
