package org.persimmonloom.tool.demo;

import io.vavr.control.Either;
import java.io.IOException;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.persimmonloom.core.fold.ProposalTypes;
import org.persimmonloom.core.release.ReleaseCatalog;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;

/** An operator who applies release notes at one entry host. Safe for any thread; calls block. */
public final class DemoOperator {
  private static final MediaType TEXT = MediaType.get("text/plain; charset=utf-8");

  private final String name;
  private final EntryTarget host;
  private final OkHttpClient client = new OkHttpClient();

  /** Creates an operator who uses one entry host. */
  public DemoOperator(String name, EntryTarget host) {
    this.name = name;
    this.host = host;
  }

  /** Returns the operator's name. */
  public String name() {
    return name;
  }

  /** Applies a release note. */
  public Either<Failure, String> apply(String note) throws IOException {
    HttpUrl url =
        HttpUrl.get(host.operatorUrl() + "/release")
            .newBuilder()
            .addQueryParameter("operator", name)
            .build();
    return call(new Request.Builder().url(url).post(RequestBody.create(note, TEXT)));
  }

  /** Posts to a path of the operators' interface; the path may have a query. */
  public Either<Failure, String> post(String path, String body) throws IOException {
    return call(
        new Request.Builder().url(host.operatorUrl() + path).post(RequestBody.create(body, TEXT)));
  }

  /** Returns the number of the revision in force at the operator's entry host. */
  public long revision() throws IOException {
    return call(new Request.Builder().url(host.operatorUrl() + "/release"))
        .flatMap(text -> ProposalTypes.CODEC.fromJson(text, ReleaseCatalog.Snapshot.class))
        .getOrElseThrow((Failure failure) -> new IOException(failure.toString()))
        .current()
        .number();
  }

  private Either<Failure, String> call(Request.Builder request) throws IOException {
    request.header("Authorization", "Bearer " + EntryHostProcess.TOKEN);
    try (Response response = client.newCall(request.build()).execute()) {
      String text = response.body().string().strip();
      if (response.isSuccessful()) {
        return Either.right(text);
      }
      return Either.left(
          ProposalTypes.CODEC
              .fromJson(text, Failure.class)
              .getOrElse(Failure.of(ResultCode.INTERNAL, "status " + response.code())));
    }
  }
}
