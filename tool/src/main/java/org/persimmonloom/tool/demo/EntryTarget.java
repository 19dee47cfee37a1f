package org.persimmonloom.tool.demo;

import okhttp3.OkHttpClient;

/** An entry host as callers, operators and probes see it. Safe for any thread. */
public interface EntryTarget {
  /** Returns its name. */
  String name();

  /** Returns the address of its callers' listener as a URL without path. */
  String callerUrl();

  /** Returns the address of its operators' listener as a URL without path. */
  String operatorUrl();

  /** Returns a client for its listeners. */
  OkHttpClient callerClient();

  /** Returns whether it was started and neither stopped nor lost. */
  boolean isUp();
}
