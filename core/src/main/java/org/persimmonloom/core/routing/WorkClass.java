package org.persimmonloom.core.routing;

/**
 * Class of a request by run time. The classes are queued separately, so that short requests do not
 * wait behind long ones.
 */
public enum WorkClass {
  SHORT,
  LONG
}
