package org.persimmonloom.tool.report;

import io.vavr.control.Either;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;

/** Reads the metrics pages of entry hosts. Safe for any thread; calls block. */
public final class BurnSampler {
  private final OkHttpClient client = new OkHttpClient();
  private final MetricsParser parser = new MetricsParser();
  private final List<String> entryHosts;

  /** Creates a sampler of the operators' listeners at these addresses. */
  public BurnSampler(List<String> entryHosts) {
    this.entryHosts = List.copyOf(entryHosts);
  }

  /**
   * Returns one sample of each entry host that answers, or the last failure if none does. A host
   * that is restarting must not end a report over the others.
   */
  public Either<Failure, List<BurnSample>> sample(long nowMillis) {
    List<BurnSample> samples = new ArrayList<>();
    Failure last = Failure.of(ResultCode.USAGE, "--entry IP:PORT[,IP:PORT]");
    for (String entryHost : entryHosts) {
      Request request = new Request.Builder().url("http://" + entryHost + "/metrics").build();
      try (Response response = client.newCall(request).execute()) {
        if (!response.isSuccessful()) {
          throw new IOException("status " + response.code());
        }
        samples.add(BurnSample.of(nowMillis, entryHost, parser.parse(response.body().string())));
      } catch (IOException e) {
        last = Failure.of(ResultCode.PEER_UNAVAILABLE, entryHost, e.getMessage());
      }
    }
    return samples.isEmpty() ? Either.left(last) : Either.right(samples);
  }
}
