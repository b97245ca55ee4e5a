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

/** Pending proposals, reads and leadership transfers of this process. Used on the control thread only. */
final class PendingCalls {
    private record AppendedProposal(long term, CompletableFuture<Object> future) {}

    private final Map<Long, CompletableFuture<Object>> proposalsById = new HashMap<>();
    private final Map<Long, AppendedProposal> proposalsByIndex = new HashMap<>();
    private final Map<Long, CompletableFuture<Long>> readsById = new HashMap<>();
    private final NavigableMap<Long, List<CompletableFuture<Long>>> confirmedReadsByIndex = new TreeMap<>();
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

    void onAppended(NodeEvent.Appended event) {
        CompletableFuture<Object> future = proposalsById.remove(event.proposalId());
        if (future != null) {
            proposalsByIndex.put(event.index(), new AppendedProposal(event.term(), future));
        }
    }

    /** Completes the proposal at an index with the result or error of the entry applied there. */
    void onApplied(LogEntry entry, @Nullable Object result, @Nullable RuntimeException error) {
        AppendedProposal proposal = proposalsByIndex.remove(entry.index());
        if (proposal == null) {
            return;
        }
        if (proposal.term() != entry.term()) {
            proposal.future()
                    .completeExceptionally(new WagtailcartException(
                            ResultCode.LEADERSHIP_LOST, "the proposal was overwritten by an entry of another leader"));
        } else if (error != null) {
            proposal.future().completeExceptionally(error);
        } else {
            proposal.future().complete(result);
        }
    }

    void onReadConfirmed(NodeEvent.ReadConfirmed event) {
        CompletableFuture<Long> future = readsById.remove(event.readId());
        if (future != null) {
            confirmedReadsByIndex
                    .computeIfAbsent(event.index(), index -> new ArrayList<>())
                    .add(future);
        }
    }

    /** Completes the confirmed reads up to the applied index. */
    void completeReads(long appliedIndex) {
        while (!confirmedReadsByIndex.isEmpty() && confirmedReadsByIndex.firstKey() <= appliedIndex) {
            var reads = confirmedReadsByIndex.pollFirstEntry();
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
        ended.forEach(future -> future.completeExceptionally(
                new WagtailcartException(ResultCode.NO_QUORUM, "leadership transfer failed: " + reason)));
    }

    /** Fails all pending proposals and reads, except reads that a quorum has already confirmed. */
    void failAll(RuntimeException error) {
        List<CompletableFuture<?>> failed = new ArrayList<>(proposalsById.values());
        proposalsByIndex.values().forEach(proposal -> failed.add(proposal.future()));
        failed.addAll(readsById.values());
        proposalsById.clear();
        proposalsByIndex.clear();
        readsById.clear();
        failed.forEach(future -> future.completeExceptionally(error));
    }
}
