package org.persimmonloom.runtime.endpoint;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import javax.inject.Inject;
import javax.inject.Singleton;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

/** Sends one request to one endpoint and reads the whole answer. Safe for any thread. */
@Singleton
public final class EndpointClient {
  /** Identifies the attempt; the endpoint echoes it, which shows a crossed answer. */
  public static final String ATTEMPT_HEADER = "Persimmonloom-Attempt";

  private final OkHttpClient client;

  @Inject
  public EndpointClient(OkHttpClient client) {
    this.client = client.newBuilder().retryOnConnectionFailure(false).build();
  }

  /**
   * Sends the request and waits for the complete answer.
   *
   * @throws IOException if no complete answer to this attempt came within the timeout
   */
  public EndpointAnswer send(
      String address, String method, String target, byte[] body, String attempt, long timeoutMillis)
      throws IOException {
    boolean hasBody = !method.equals("GET") && !method.equals("HEAD");
    Request request =
        new Request.Builder()
            .url("http://" + address + target)
            .header(ATTEMPT_HEADER, attempt)
            .method(method, hasBody ? RequestBody.create(body) : null)
            .build();
    OkHttpClient limited =
        client.newBuilder().callTimeout(timeoutMillis, TimeUnit.MILLISECONDS).build();
    try (Response response = limited.newCall(request).execute()) {
      if (!attempt.equals(response.header(ATTEMPT_HEADER))) {
        throw new IOException("answer to another attempt: " + response.header(ATTEMPT_HEADER));
      }
      byte[] answer = response.body().bytes();
      List<Map.Entry<String, String>> headers = new ArrayList<>();
      response.headers().forEach(it -> headers.add(Map.entry(it.getFirst(), it.getSecond())));
      return new EndpointAnswer(response.code(), headers, answer);
    }
  }
}
