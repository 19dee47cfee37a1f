package org.persimmonloom.runtime.log;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import okhttp3.Call;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.wire.Codec;

/**
 * Client of the platform log over HTTP: {@code POST /append} with the record as its body, {@code
 * GET /read?from=&max=&wait=} answered with a MessagePack {@link LogPage}. Safe for any thread.
 */
public final class HttpPlatformLog implements PlatformLog {
  private static final MediaType BINARY = MediaType.get("application/octet-stream");
  private static final long CALL_TIMEOUT_MILLIS = 2_000;

  private final Codec codec = new Codec(Map.of());
  private final OkHttpClient client;
  private final HttpUrl base;

  /** The answer to an append. */
  public record Appended(long offset) {}

  /**
   * Creates a client of the log at {@code url}. Failed connections are not retried here, because
   * the caller decides whether a repeated append is safe.
   */
  public HttpPlatformLog(OkHttpClient client, String url) {
    this.client = client.newBuilder().retryOnConnectionFailure(false).build();
    this.base = HttpUrl.get(url);
  }

  @Override
  public long append(byte[] record) throws IOException {
    HttpUrl url = base.newBuilder().addPathSegment("append").build();
    Request request =
        new Request.Builder().url(url).post(RequestBody.create(record, BINARY)).build();
    return call(request, CALL_TIMEOUT_MILLIS, Appended.class).offset();
  }

  @Override
  public LogPage read(long fromOffset, int maxRecords, long waitMillis) throws IOException {
    HttpUrl url =
        base.newBuilder()
            .addPathSegment("read")
            .addQueryParameter("from", Long.toString(fromOffset))
            .addQueryParameter("max", Integer.toString(maxRecords))
            .addQueryParameter("wait", Long.toString(waitMillis))
            .build();
    Request request = new Request.Builder().url(url).build();
    return call(request, CALL_TIMEOUT_MILLIS + waitMillis, LogPage.class);
  }

  private <T> T call(Request request, long timeoutMillis, Class<T> type) throws IOException {
    Call call = client.newCall(request);
    call.timeout().timeout(timeoutMillis, TimeUnit.MILLISECONDS);
    try (Response response = call.execute()) {
      if (!response.isSuccessful()) {
        throw new IOException("platform log answered with status " + response.code());
      }
      return codec
          .decode(response.body().bytes(), type)
          .getOrElseThrow((Failure failure) -> new IOException(failure.toString()));
    }
  }
}
