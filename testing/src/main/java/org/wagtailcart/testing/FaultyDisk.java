package org.wagtailcart.testing;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.net.URI;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.SeekableByteChannel;
import java.nio.file.AccessMode;
import java.nio.file.CopyOption;
import java.nio.file.DirectoryStream;
import java.nio.file.FileStore;
import java.nio.file.FileSystem;
import java.nio.file.Files;
import java.nio.file.LinkOption;
import java.nio.file.OpenOption;
import java.nio.file.Path;
import java.nio.file.PathMatcher;
import java.nio.file.StandardOpenOption;
import java.nio.file.WatchService;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.FileAttribute;
import java.nio.file.attribute.FileAttributeView;
import java.nio.file.attribute.UserPrincipalLookupService;
import java.nio.file.spi.FileSystemProvider;
import java.util.Arrays;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

/**
 * Disk of one member in a test: a folder whose files fail as on a full disk, or that holds a limited number of bytes.
 * Code under test uses it through {@link #root()} like any other path.
 */
public final class FaultyDisk {
    private final Path folder;
    private final FileSystem fileSystem = new FaultyFileSystem();
    private final FileSystemProvider provider = new FaultyProvider();
    private final AtomicInteger openChannels = new AtomicInteger();
    private final AtomicInteger failures = new AtomicInteger();
    private final AtomicInteger folderSyncsLeft = new AtomicInteger(Integer.MAX_VALUE);
    private volatile DiskFault fault = DiskFault.NONE;
    private volatile long capacityBytes = Long.MAX_VALUE;

    /** Creates a disk that keeps its files in an existing folder. */
    public FaultyDisk(Path folder) {
        this.folder = folder;
    }

    /** Returns the root folder of the disk. */
    public Path root() {
        return wrap(folder);
    }

    /** Sets what the disk refuses from now on. */
    public void setFault(DiskFault newFault) {
        fault = newFault;
    }

    /** Sets how many bytes the files of the disk may hold together. */
    public void setCapacityBytes(long bytes) {
        capacityBytes = bytes;
    }

    /** Lets syncs of the folder fail after a number of further ones. */
    public void failFolderSyncsAfter(int count) {
        folderSyncsLeft.set(count);
    }

    /** Returns how many bytes the files of the disk hold. */
    public long usedBytes() {
        try (Stream<Path> files = Files.walk(folder)) {
            return files.filter(Files::isRegularFile)
                    .mapToLong(file -> file.toFile().length())
                    .sum();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the number of files that are open. */
    public int openChannels() {
        return openChannels.get();
    }

    /** Returns the number of operations that have failed so far. */
    public int failures() {
        return failures.get();
    }

    private IOException counted(IOException error) {
        failures.incrementAndGet();
        return error;
    }

    private void checkNewName() throws IOException {
        try {
            fault.beforeNewName();
        } catch (IOException e) {
            throw counted(e);
        }
    }

    private Path wrap(Path delegate) {
        return (Path) Proxy.newProxyInstance(
                FaultyDisk.class.getClassLoader(), new Class<?>[] {Path.class}, (proxy, method, arguments) -> {
                    if (method.getName().equals("getFileSystem")) {
                        return fileSystem;
                    }
                    Object[] unwrapped = arguments == null
                            ? null
                            : Arrays.stream(arguments)
                                    .map(argument -> argument instanceof Path path ? unwrap(path) : argument)
                                    .toArray();
                    if (method.getName().equals("toString")) {
                        return delegate.toString();
                    }
                    try {
                        Object result = method.invoke(delegate, unwrapped);
                        return result instanceof Path path ? wrap(path) : result;
                    } catch (InvocationTargetException e) {
                        throw e.getCause();
                    }
                });
    }

    /** Returns the path on the underlying file system. */
    private static Path unwrap(Path path) {
        return Path.of(path.toString());
    }

    /** File channel that fails as the disk does. */
    private final class FaultyChannel extends DelegatingFileChannel {
        private final boolean folderChannel;

        FaultyChannel(FileChannel delegate, boolean folderChannel) {
            super(delegate);
            this.folderChannel = folderChannel;
            openChannels.incrementAndGet();
        }

        @Override
        public int write(ByteBuffer bytes, long position) throws IOException {
            int writable = fault.writableBytes(bytes);
            if (capacityBytes < Long.MAX_VALUE) {
                long overwritten = Math.max(0, Math.min(bytes.remaining(), delegate.size() - position));
                writable = (int) Math.min(writable, Math.max(0, capacityBytes - usedBytes()) + overwritten);
            }
            int requested = bytes.remaining();
            ByteBuffer stored = bytes.slice(bytes.position(), writable);
            int written = writable == 0 ? 0 : delegate.write(stored, position);
            if (writable < requested) {
                throw counted(DiskFault.noSpaceLeft());
            }
            bytes.position(bytes.position() + written);
            return written;
        }

        @Override
        public int write(ByteBuffer bytes) throws IOException {
            int written = write(bytes, delegate.position());
            delegate.position(delegate.position() + written);
            return written;
        }

        @Override
        public void force(boolean metaData) throws IOException {
            try {
                fault.beforeSync();
                if (folderChannel && folderSyncsLeft.getAndUpdate(left -> Math.max(0, left - 1)) == 0) {
                    throw DiskFault.noSpaceLeft();
                }
            } catch (IOException e) {
                throw counted(e);
            }
            delegate.force(metaData);
        }

        @Override
        protected void implCloseChannel() throws IOException {
            openChannels.decrementAndGet();
            delegate.close();
        }
    }

    /** Provider that passes calls on to the underlying file system. */
    private final class FaultyProvider extends FileSystemProvider {
        @Override
        public FileChannel newFileChannel(Path path, Set<? extends OpenOption> options, FileAttribute<?>... attributes)
                throws IOException {
            Path real = unwrap(path);
            if (options.contains(StandardOpenOption.CREATE) && !Files.exists(real)) {
                checkNewName();
            }
            return new FaultyChannel(FileChannel.open(real, options, attributes), Files.isDirectory(real));
        }

        @Override
        public SeekableByteChannel newByteChannel(
                Path path, Set<? extends OpenOption> options, FileAttribute<?>... attributes) throws IOException {
            return Files.newByteChannel(unwrap(path), options, attributes);
        }

        @Override
        public DirectoryStream<Path> newDirectoryStream(Path path, DirectoryStream.Filter<? super Path> filter)
                throws IOException {
            try (Stream<Path> real = Files.list(unwrap(path))) {
                List<Path> files = real.map(FaultyDisk.this::wrap).toList();
                return new ListedFiles(files);
            }
        }

        @Override
        public void createDirectory(Path path, FileAttribute<?>... attributes) throws IOException {
            Files.createDirectory(unwrap(path), attributes);
        }

        @Override
        public void delete(Path path) throws IOException {
            Files.delete(unwrap(path));
        }

        @Override
        public void copy(Path source, Path target, CopyOption... options) throws IOException {
            checkNewName();
            Files.copy(unwrap(source), unwrap(target), options);
        }

        @Override
        public void move(Path source, Path target, CopyOption... options) throws IOException {
            checkNewName();
            Files.move(unwrap(source), unwrap(target), options);
        }

        @Override
        public boolean isSameFile(Path first, Path second) throws IOException {
            return Files.isSameFile(unwrap(first), unwrap(second));
        }

        @Override
        public boolean isHidden(Path path) throws IOException {
            return Files.isHidden(unwrap(path));
        }

        @Override
        public FileStore getFileStore(Path path) throws IOException {
            return Files.getFileStore(unwrap(path));
        }

        @Override
        public void checkAccess(Path path, AccessMode... modes) throws IOException {
            Path real = unwrap(path);
            real.getFileSystem().provider().checkAccess(real, modes);
        }

        @Override
        public <V extends FileAttributeView> V getFileAttributeView(Path path, Class<V> type, LinkOption... options) {
            return Files.getFileAttributeView(unwrap(path), type, options);
        }

        @Override
        public <A extends BasicFileAttributes> A readAttributes(Path path, Class<A> type, LinkOption... options)
                throws IOException {
            return Files.readAttributes(unwrap(path), type, options);
        }

        @Override
        public Map<String, Object> readAttributes(Path path, String attributes, LinkOption... options)
                throws IOException {
            return Files.readAttributes(unwrap(path), attributes, options);
        }

        @Override
        public void setAttribute(Path path, String attribute, Object value, LinkOption... options) throws IOException {
            Files.setAttribute(unwrap(path), attribute, value, options);
        }

        @Override
        public String getScheme() {
            return "faulty";
        }

        @Override
        public FileSystem newFileSystem(URI uri, Map<String, ?> environment) {
            throw new UnsupportedOperationException();
        }

        @Override
        public FileSystem getFileSystem(URI uri) {
            throw new UnsupportedOperationException();
        }

        @Override
        public Path getPath(URI uri) {
            throw new UnsupportedOperationException();
        }
    }

    /** Listing of a folder, read when it was opened. */
    private record ListedFiles(List<Path> files) implements DirectoryStream<Path> {
        @Override
        public Iterator<Path> iterator() {
            return files.iterator();
        }

        @Override
        public void close() {}
    }

    /** File system of the paths of the disk. */
    private final class FaultyFileSystem extends FileSystem {
        @Override
        public FileSystemProvider provider() {
            return provider;
        }

        @Override
        public void close() {}

        @Override
        public boolean isOpen() {
            return true;
        }

        @Override
        public boolean isReadOnly() {
            return false;
        }

        @Override
        public String getSeparator() {
            return folder.getFileSystem().getSeparator();
        }

        @Override
        public Iterable<Path> getRootDirectories() {
            return List.of(root());
        }

        @Override
        public Iterable<FileStore> getFileStores() {
            return List.of();
        }

        @Override
        public Set<String> supportedFileAttributeViews() {
            return folder.getFileSystem().supportedFileAttributeViews();
        }

        @Override
        public Path getPath(String first, String... more) {
            return wrap(Path.of(first, more));
        }

        @Override
        public PathMatcher getPathMatcher(String syntaxAndPattern) {
            throw new UnsupportedOperationException();
        }

        @Override
        public UserPrincipalLookupService getUserPrincipalLookupService() {
            throw new UnsupportedOperationException();
        }

        @Override
        public WatchService newWatchService() {
            throw new UnsupportedOperationException();
        }
    }
}
