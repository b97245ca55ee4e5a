package org.wagtailcart.control.watch;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.wagtailcart.control.client.PrefixCacheUpdate;
import org.wagtailcart.control.client.UpstreamWork;
import org.wagtailcart.control.client.WatchRequest;
import org.wagtailcart.directory.ListedUpstream;

class GatewayBookTest {
    private static WatchRequest request(String process, UpstreamWork... work) {
        return new WatchRequest(process, 1, 0, List.of(work), List.of(), 0);
    }

    private static PrefixCacheUpdate note(int number) {
        return new PrefixCacheUpdate("e" + number, List.of("p" + number), List.of(100));
    }

    @Test
    void theWorkOfTheOtherGatewaysIsSummedForEachUpstream() {
        GatewayBook book = new GatewayBook();
        book.heard(request("g1", new UpstreamWork("e1", 2, 1_000)), 0);
        book.heard(request("g2", new UpstreamWork("e1", 3, 500), new UpstreamWork("e2", 1, 10)), 0);
        book.heard(request("g3", new UpstreamWork("e1", 9, 9_000)), 0);
        assertThat(book.workOfOthers("g3"))
                .containsExactly(new UpstreamWork("e1", 5, 1_500), new UpstreamWork("e2", 1, 10));
    }

    /** The work of a gateway that is gone must not keep requests away from engines. */
    @Test
    void aGatewayThatFellSilentIsForgotten() {
        GatewayBook book = new GatewayBook();
        book.heard(request("g1", new UpstreamWork("e1", 2, 1_000)), 0);
        book.heard(request("g2"), GatewayBook.KEEP_MILLIS + 1);
        assertThat(book.count(GatewayBook.KEEP_MILLIS + 1)).isEqualTo(1);
        assertThat(book.workOfOthers("g2")).isEmpty();
    }

    @Test
    void eachGatewayReadsTheNotesOfTheOthersOnce() {
        PrefixUpdateLog board = new PrefixUpdateLog();
        board.add("g1", List.of(note(1), note(2)));
        board.add("g2", List.of(note(3)));
        PrefixUpdateLog.Page first = board.after(0, "g2");
        assertThat(first.notes()).containsExactly(note(1), note(2)).inOrder();
        board.add("g1", List.of(note(4)));
        PrefixUpdateLog.Page second = board.after(first.cursor(), "g2");
        assertThat(second.notes()).containsExactly(note(4));
        assertThat(board.after(second.cursor(), "g2").notes()).isEmpty();
    }

    @Test
    void aGatewayThatLagsReadsOnInPagesAndTheBoardStaysBounded() {
        PrefixUpdateLog board = new PrefixUpdateLog();
        IntStream.range(0, 9_000).forEach(i -> board.add("g1", List.of(note(i))));
        long cursor = 0;
        int read = 0;
        for (PrefixUpdateLog.Page page = board.after(cursor, "g2");
                !page.notes().isEmpty();
                page = board.after(cursor, "g2")) {
            cursor = page.cursor();
            read += page.notes().size();
        }
        assertThat(read).isEqualTo(4_000);
    }

    @Test
    void theVersionOfAHostListChangesWithItsContentOnly() {
        DirectoryFeed feed = new DirectoryFeed();
        assertThat(feed.accept(List.of(), 1)).isTrue();
        long version = feed.listing().version();
        assertThat(feed.accept(List.<ListedUpstream>of(), 2)).isFalse();
        assertThat(feed.listing().version()).isEqualTo(version);
        assertThat(feed.listing().readAtMillis()).isEqualTo(2);
    }
}
