/**
 * Sends the table from a relay to the hosts that fetch it. The load it answers:
 * thousands of routes are added at once, and all hosts of a data centre fetch
 * the table from relays with slow links. Few transfers are under way at once,
 * since heartbeats and answers to callers share the link, and the next one
 * begins when a receiver confirms its own.
 */

import type {HostId} from '@lacewingroad/core';
import type {Runtime} from '@lacewingroad/runtime';
import type {RouteTable} from '../model/directory.js';
import {encodeTable} from './table_codec.js';

/** Transfers under way at once: one is sent while another is confirmed. */
const MAX_TRANSFERS = 2;
/** Time after which an unconfirmed transfer no longer holds up others, in ms. */
const TRANSFER_TIMEOUT_MS = 1_000;

/** Sends tables. */
export interface TableSender {
  /** Sends the newest table to a host, after those that fetched it before. */
  readonly send: (host: HostId) => void;
  /** Notes that a host has the table, or is gone. */
  readonly release: (host: HostId) => void;
}

/** Creates the sender; `readTable` is called when a transfer begins. */
export function createTableSender(
  runtime: Runtime,
  readTable: () => RouteTable | null,
  send: (host: HostId, table: RouteTable, bytes: Uint8Array) => void,
): TableSender {
  let encoded: {version: number; bytes: Uint8Array} | null = null;
  const waiting = new Set<HostId>();
  /** Ends the timeout of each transfer that is under way. */
  const underWay = new Map<HostId, () => void>();

  const encode = (table: RouteTable): Uint8Array => {
    if (encoded?.version !== table.version) {
      encoded = {version: table.version, bytes: encodeTable(table)};
    }
    return encoded.bytes;
  };

  const sendNext = (): void => {
    const [host] = waiting;
    const table = readTable();
    if (
      host === undefined ||
      table === null ||
      underWay.size >= MAX_TRANSFERS
    ) {
      return;
    }
    waiting.delete(host);
    const at = runtime.now() + TRANSFER_TIMEOUT_MS;
    underWay.set(
      host,
      runtime.at(at, () => release(host)),
    );
    send(host, table, encode(table));
    sendNext();
  };

  const release = (host: HostId): void => {
    waiting.delete(host);
    underWay.get(host)?.();
    underWay.delete(host);
    sendNext();
  };

  return {
    send: host => {
      if (!underWay.has(host)) {
        waiting.add(host);
        sendNext();
      }
    },
    release,
  };
}
