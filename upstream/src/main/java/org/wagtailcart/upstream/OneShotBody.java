package org.wagtailcart.upstream;

import java.io.IOException;
import okhttp3.MediaType;
import okhttp3.RequestBody;
import okio.BufferedSink;
import org.jspecify.annotations.Nullable;

/** Request body that the HTTP client must not write twice. Its content type is set in the headers of the request. */
public final class OneShotBody extends RequestBody {
    private final byte[] bytes;

    public OneShotBody(byte[] bytes) {
        this.bytes = bytes;
    }

    @Override
    public @Nullable MediaType contentType() {
        return null;
    }

    @Override
    public long contentLength() {
        return bytes.length;
    }

    @Override
    public boolean isOneShot() {
        return true;
    }

    @Override
    public void writeTo(BufferedSink sink) throws IOException {
        sink.write(bytes);
    }
}
