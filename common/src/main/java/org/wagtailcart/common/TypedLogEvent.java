package org.wagtailcart.common;

import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.stream.IntStream;
import org.jspecify.annotations.Nullable;

/** A structured log event: its kind and the values of its fields. Its text is formatted by {@link LogEvent}. */
public final class TypedLogEvent {
    private final LogEventKind kind;
    private final List<@Nullable Object> values;

    TypedLogEvent(LogEventKind kind, @Nullable Object... values) {
        if (values.length != kind.fields().size()) {
            throw new IllegalArgumentException(
                    kind + " has fields " + kind.fields() + " but the number of values is " + values.length);
        }
        this.kind = kind;
        this.values = Collections.unmodifiableList(Arrays.asList(values.clone()));
    }

    public LogEventKind kind() {
        return kind;
    }

    /** Returns the values of the kind's fields, in order. */
    public List<@Nullable Object> values() {
        return values;
    }

    @Override
    public String toString() {
        @Nullable
        Object[] alternating = IntStream.range(0, 2 * values.size())
                .mapToObj(i -> i % 2 == 0 ? kind.fields().get(i / 2) : values.get(i / 2))
                .toArray();
        return LogEvent.of(kind.eventName(), alternating);
    }
}
