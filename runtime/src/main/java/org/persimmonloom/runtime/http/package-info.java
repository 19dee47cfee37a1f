/** HTTP client for many short calls at a time. */
package org.persimmonloom.runtime.http;
