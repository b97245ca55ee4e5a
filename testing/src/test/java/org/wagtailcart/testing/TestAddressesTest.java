package org.wagtailcart.testing;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wagtailcart.common.Address;

/** Guards against a server of a test that cannot start because something else has taken its port. */
class TestAddressesTest {
    @ParameterizedTest
    @ValueSource(ints = {1, 500})
    void addressesAreDistinctAndNeverTakenByOutgoingConnections(int count) {
        List<Address> addresses =
                Stream.generate(TestAddresses::free).limit(count).toList();
        assertThat(addresses).containsNoDuplicates();
        assertThat(addresses.stream().allMatch(address -> address.port() < TestAddresses.FIRST_EPHEMERAL_PORT))
                .isTrue();
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 3})
    void skipsPortsInUse(int taken) throws Exception {
        int next = TestAddresses.free().port() + 1;
        try (ServerSocket first = new ServerSocket(next, 1, InetAddress.getLoopbackAddress())) {
            assertThat(Stream.generate(TestAddresses::free).limit(taken).map(Address::port))
                    .doesNotContain(first.getLocalPort());
        }
    }
}
