package org.wagtailcart.entry;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.wagtailcart.common.Address;

/** TCP proxy that can stall: open connections stay open but deliver no more bytes, while new connections work. */
final class StallingProxy implements AutoCloseable {
    private final ExecutorService executor = Executors.newCachedThreadPool();
    private final Set<Socket> stalled = ConcurrentHashMap.newKeySet();
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final ServerSocket listener;
    private final Address target;
    final Address address;

    StallingProxy(Address target) throws IOException {
        this.target = target;
        this.listener = new ServerSocket(0);
        this.address = new Address("127.0.0.1", listener.getLocalPort());
        executor.execute(this::accept);
    }

    void stall() {
        stalled.addAll(open);
    }

    private void accept() {
        try {
            while (true) {
                Socket from = listener.accept();
                Socket to = new Socket(target.ip(), target.port());
                open.add(from);
                open.add(to);
                executor.execute(() -> forward(from, to));
                executor.execute(() -> forward(to, from));
            }
        } catch (IOException e) {
            return;
        }
    }

    private void forward(Socket from, Socket to) {
        byte[] buffer = new byte[4096];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
                if (!stalled.contains(from)) {
                    out.write(buffer, 0, read);
                }
            }
        } catch (IOException e) {
            return;
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : open) {
            socket.close();
        }
        executor.shutdownNow();
    }
}
