package org.wagtailcart.coordination;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;

/** Calls of this process that wait for the log. Used on the control thread only. */
final class PendingCalls {
    private record Waiting(long term, CompletableFuture<Object> future) {}

    private final Map<Long, CompletableFuture<Object>> proposalsById = new HashMap<>();
    private final Map<Long, Waiting> proposalsByIndex = new HashMap<>();
    private final Map<Long, CompletableFuture<Long>> readsById = new HashMap<>();
    private final NavigableMap<Long, List<CompletableFuture<Long>>> readsByIndex = new TreeMap<>();
    private final List<CompletableFuture<Void>> transfers = new ArrayList<>();
    private long nextId = 1;

    long addProposal(CompletableFuture<Object> future) {
        proposalsById.put(nextId, future);
        return nextId++;
    }

    long addRead(CompletableFuture<Long> future) {
        readsById.put(nextId, future);
        return nextId++;
    }

    void addTransfer(CompletableFuture<Void> future) {
        transfers.add(future);
    }

    int proposalCount() {
        return proposalsById.size() + proposalsByIndex.size();
    }

    void failProposal(long id, RuntimeException error) {
        CompletableFuture<Object> future = proposalsById.remove(id);
        if (future != null) {
            future.completeExceptionally(error);
        }
    }

    void failRead(long id, RuntimeException error) {
        CompletableFuture<Long> future = readsById.remove(id);
        if (future != null) {
            future.completeExceptionally(error);
        }
    }

    void appended(NodeEvent.Appended event) {
        CompletableFuture<Object> future = proposalsById.remove(event.proposalId());
        if (future != null) {
            proposalsByIndex.put(event.index(), new Waiting(event.term(), future));
        }
    }

    /** Completes the proposal at an index with the result or error of the entry applied there. */
    void applied(LogEntry entry, @Nullable Object result, @Nullable RuntimeException error) {
        Waiting waiting = proposalsByIndex.remove(entry.index());
        if (waiting == null) {
            return;
        }
        if (waiting.term() != entry.term()) {
            waiting.future()
                    .completeExceptionally(new WagtailcartException(
                            ResultCode.LEADERSHIP_LOST, "another leader's entry took the place of the proposal"));
        } else if (error != null) {
            waiting.future().completeExceptionally(error);
        } else {
            waiting.future().complete(result);
        }
    }

    void readConfirmed(NodeEvent.ReadConfirmed event) {
        CompletableFuture<Long> future = readsById.remove(event.readId());
        if (future != null) {
            readsByIndex
                    .computeIfAbsent(event.index(), index -> new ArrayList<>())
                    .add(future);
        }
    }

    /** Completes the reads whose index is applied. */
    void completeReads(long appliedIndex) {
        while (!readsByIndex.isEmpty() && readsByIndex.firstKey() <= appliedIndex) {
            var reads = readsByIndex.pollFirstEntry();
            reads.getValue().forEach(future -> future.complete(reads.getKey()));
        }
    }

    void completeTransfers() {
        List<CompletableFuture<Void>> ended = List.copyOf(transfers);
        transfers.clear();
        ended.forEach(future -> future.complete(null));
    }

    void failTransfers(String reason) {
        List<CompletableFuture<Void>> ended = List.copyOf(transfers);
        transfers.clear();
        ended.forEach(future ->
                future.completeExceptionally(new WagtailcartException(ResultCode.NO_QUORUM, "no transfer: " + reason)));
    }

    /** Fails everything that waits, except reads that a quorum has already confirmed. */
    void failAll(RuntimeException error) {
        List<CompletableFuture<?>> ended = new ArrayList<>(proposalsById.values());
        proposalsByIndex.values().forEach(waiting -> ended.add(waiting.future()));
        ended.addAll(readsById.values());
        proposalsById.clear();
        proposalsByIndex.clear();
        readsById.clear();
        ended.forEach(future -> future.completeExceptionally(error));
    }
}
