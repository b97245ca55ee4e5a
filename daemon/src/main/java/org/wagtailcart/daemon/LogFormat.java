package org.wagtailcart.daemon;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;

/** Format of log output; each format writes one event per line. */
enum LogFormat {
    /** Plain text: {@code time level logger event key=value ...}. */
    TEXT {
        @Override
        String formatLine(LogRecord record, String message, String stackTrace) {
            String trace = stackTrace.isEmpty() ? "" : " trace=\"" + escape(stackTrace) + '"';
            return Instant.ofEpochMilli(record.getMillis())
                    + " "
                    + record.getLevel()
                    + " "
                    + simpleName(record)
                    + " "
                    + escapeLineEnds(message)
                    + trace
                    + "\n";
        }
    },
    /** One JSON object per line. */
    JSON {
        @Override
        String formatLine(LogRecord record, String message, String stackTrace) {
            Map<String, String> fields = new LinkedHashMap<>();
            fields.put("time", Instant.ofEpochMilli(record.getMillis()).toString());
            fields.put("level", record.getLevel().toString());
            fields.put("logger", simpleName(record));
            fields.put("event", message);
            if (!stackTrace.isEmpty()) {
                fields.put("trace", stackTrace);
            }
            try {
                return MAPPER.writeValueAsString(fields) + "\n";
            } catch (JsonProcessingException e) {
                throw new IllegalStateException("log record cannot be serialized to JSON", e);
            }
        }
    };

    private static final ObjectMapper MAPPER = new ObjectMapper();

    abstract String formatLine(LogRecord record, String message, String stackTrace);

    /** Returns a formatter of this format for {@code java.util.logging} handlers. */
    Formatter formatter() {
        return new Formatter() {
            @Override
            public String format(LogRecord record) {
                return formatLine(record, formatMessage(record), stackTrace(record));
            }
        };
    }

    private static String simpleName(LogRecord record) {
        String name = String.valueOf(record.getLoggerName());
        return name.substring(name.lastIndexOf('.') + 1);
    }

    private static String stackTrace(LogRecord record) {
        Throwable thrown = record.getThrown();
        return thrown == null ? "" : StackTraces.text(thrown);
    }

    private static String escape(String text) {
        return escapeLineEnds(text.replace("\\", "\\\\").replace("\"", "\\\""));
    }

    private static String escapeLineEnds(String text) {
        return text.replace("\n", "\\n").replace("\r", "");
    }
}
