package org.persimmonloom.core.member;

import org.persimmonloom.core.fold.Proposal;

/**
 * Registers an entry host or renews its registration.
 *
 * @param peerAddress {@code ip:port} of the listener for peers
 * @param operatorAddress {@code ip:port} of the listener for operators
 * @param dataCentre data centre of the entry host
 */
public record EntryHostSeen(String peerAddress, String operatorAddress, String dataCentre)
    implements Proposal {}
