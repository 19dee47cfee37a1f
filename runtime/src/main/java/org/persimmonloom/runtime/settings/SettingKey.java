package org.persimmonloom.runtime.settings;

/** The keys of the settings file, with their section and default. */
public enum SettingKey {
  NAME("entry", "name", null, Type.NAME),
  DATA_CENTRE("entry", "data_centre", null, Type.NAME),
  REGION("entry", "region", null, Type.NAME),
  CALLER_ADDRESS("caller", "address", null, Type.ADDRESS),
  OPERATOR_ADDRESS("operator", "address", null, Type.ADDRESS),
  OPERATOR_TOKEN("operator", "token", null, Type.TEXT),
  PEER_ADDRESS("peer", "address", null, Type.ADDRESS),
  PEER_SEEDS("peer", "seeds", "", Type.ADDRESSES),
  LOG_URL("platform", "log_url", null, Type.URL),
  HOST_LIST_URL("platform", "host_list_url", null, Type.URL),
  LOG_RETENTION_MILLIS("platform", "log_retention_millis", "86400000", Type.MILLIS),
  BALANCER_DELAY_MILLIS("stop", "balancer_delay_millis", "5000", Type.MILLIS),
  STOP_DEADLINE_MILLIS("stop", "deadline_millis", "60000", Type.MILLIS);

  /** How a value is checked. */
  public enum Type {
    NAME,
    TEXT,
    ADDRESS,
    ADDRESSES,
    URL,
    MILLIS
  }

  private final String section;
  private final String key;
  private final String defaultValue;
  private final Type type;

  SettingKey(String section, String key, String defaultValue, Type type) {
    this.section = section;
    this.key = key;
    this.defaultValue = defaultValue;
    this.type = type;
  }

  /** Returns the section of the settings file. */
  public String section() {
    return section;
  }

  /** Returns the key within its section. */
  public String key() {
    return key;
  }

  /** Returns the value of an absent key; null if the key is required. */
  public String defaultValue() {
    return defaultValue;
  }

  /** Returns how the value is checked. */
  public Type type() {
    return type;
  }
}
