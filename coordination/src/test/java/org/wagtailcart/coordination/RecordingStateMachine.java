package org.wagtailcart.coordination;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** State machine that records every command; the result of a command is the number of commands so far. */
final class RecordingStateMachine implements StateMachine {
    private final List<String> commands = new ArrayList<>();
    private long lastIndex;

    @Override
    public Object apply(long index, long timeMillis, byte[] command) {
        if (index <= lastIndex) {
            throw new IllegalStateException("index " + index + " applied after " + lastIndex);
        }
        lastIndex = index;
        commands.add(new String(command, StandardCharsets.UTF_8));
        return commands.size();
    }

    @Override
    public byte[] snapshot() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeLong(lastIndex);
            out.writeInt(commands.size());
            for (String command : commands) {
                out.writeUTF(command);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    @Override
    public void restore(byte[] snapshot) {
        commands.clear();
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(snapshot))) {
            lastIndex = in.readLong();
            int count = in.readInt();
            for (int i = 0; i < count; i++) {
                commands.add(in.readUTF());
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    List<String> commands() {
        return List.copyOf(commands);
    }
}
