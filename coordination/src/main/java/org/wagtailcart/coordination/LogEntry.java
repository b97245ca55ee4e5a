package org.wagtailcart.coordination;

import java.util.Arrays;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;

/**
 * Entry of the Raft log.
 *
 * @param index position, from 1
 * @param term term of the leader that appended it
 * @param timeMillis wall clock of that leader, milliseconds since 1970
 * @param kind what the payload is
 * @param payload command or encoded membership; empty for NOOP
 */
record LogEntry(long index, long term, long timeMillis, Kind kind, byte[] payload) {
    /** Kind of entry; the number is written to disk. */
    enum Kind {
        COMMAND(0),
        /** First entry of a leader; committing it commits all entries before it. */
        NOOP(1),
        MEMBERS(2);

        private final int number;

        Kind(int number) {
            this.number = number;
        }

        int number() {
            return number;
        }

        static Kind ofNumber(int number) {
            return Arrays.stream(values())
                    .filter(kind -> kind.number == number)
                    .findFirst()
                    .orElseThrow(() -> new WagtailcartException(
                            ResultCode.LOG_DAMAGED, "log entry kind " + number + " is unknown"));
        }
    }

    /** Upper estimate of the bytes of an entry besides its payload, on disk and on the wire. */
    static final int OVERHEAD_BYTES = 48;

    int sizeBytes() {
        return OVERHEAD_BYTES + payload.length;
    }
}
