package org.persimmonloom.runtime.fleet;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import okhttp3.Call;
import okhttp3.HttpUrl;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.wire.Codec;

/**
 * Reads the platform's host list, a JSON document over HTTP, and asks the platform to reboot hosts.
 * Safe for any thread.
 */
public final class HostListClient {
  /** A read that takes longer has failed, since an old list is worse than the next attempt. */
  private static final long READ_MILLIS = 700;

  private final Codec codec = new Codec(Map.of());
  private final OkHttpClient client;
  private final String url;

  /** Creates a client of the list at {@code url}. */
  public HostListClient(OkHttpClient client, String url) {
    this.client = client;
    this.url = url;
  }

  /** Returns the list as the platform gives it now, which may lag. */
  public HostList read() throws IOException {
    Call call = client.newCall(new Request.Builder().url(url).build());
    call.timeout().timeout(READ_MILLIS, TimeUnit.MILLISECONDS);
    try (Response response = call.execute()) {
      if (!response.isSuccessful()) {
        throw new IOException("host list answered with status " + response.code());
      }
      return codec
          .fromJson(response.body().string(), HostList.class)
          .getOrElseThrow((Failure failure) -> new IOException(failure.toString()));
    }
  }

  /**
   * Asks the platform to reboot a host. Calls with the same attempt reboot it once.
   *
   * @throws IOException if the platform did not accept the call, or its answer was lost
   */
  public void reboot(String host, String attempt) throws IOException {
    HttpUrl target =
        HttpUrl.get(url)
            .newBuilder()
            .addPathSegment("reboot")
            .addQueryParameter("host", host)
            .addQueryParameter("attempt", attempt)
            .build();
    Request request =
        new Request.Builder().url(target).post(RequestBody.create(new byte[0])).build();
    try (Response response = client.newCall(request).execute()) {
      if (!response.isSuccessful()) {
        throw new IOException("reboot answered with status " + response.code());
      }
    }
  }
}
