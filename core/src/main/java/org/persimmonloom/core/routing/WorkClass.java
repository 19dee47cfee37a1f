package org.persimmonloom.core.routing;

/** Classes of work by run time, kept apart so that short work does not wait behind long work. */
public enum WorkClass {
  SHORT,
  LONG
}
