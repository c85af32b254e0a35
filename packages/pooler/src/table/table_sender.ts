/**
 * Sends the table from a relay to the hosts that fetch it. The load it answers:
 * thousands of routes are added at once, and all hosts of a data centre fetch
 * the table from relays with slow links. Transfers are spread over time, since
 * heartbeats and answers to callers share the link.
 */

import type {HostId} from '@lacewingroad/core';
import type {Instant, Runtime} from '@lacewingroad/runtime';
import type {RouteTable} from '../model/directory.js';
import {encodeTable} from './table_codec.js';

/** Rate at which a relay sends tables, in bytes per ms: about half of the
 * smallest link in use, which carries 7 Mbit/s. */
const BYTES_PER_MS = 450;

/** Sends tables. */
export interface TableSender {
  /** Sends the newest table to a host, after those that were fetched before. */
  readonly send: (host: HostId) => void;
}

/** Creates the sender; `readTable` is called when a transfer begins. */
export function createTableSender(
  runtime: Runtime,
  readTable: () => RouteTable | null,
  send: (host: HostId, table: RouteTable, bytes: Uint8Array) => void,
): TableSender {
  let encoded: {version: number; bytes: Uint8Array} | null = null;
  let nextAt: Instant = 0;
  const waiting = new Set<HostId>();

  const encode = (table: RouteTable): Uint8Array => {
    if (encoded?.version !== table.version) {
      encoded = {version: table.version, bytes: encodeTable(table)};
    }
    return encoded.bytes;
  };

  const transfer = (host: HostId): void => {
    waiting.delete(host);
    const table = readTable();
    if (table !== null) {
      send(host, table, encode(table));
    }
  };

  return {
    send: host => {
      const table = readTable();
      if (table === null || waiting.has(host)) {
        return;
      }
      const now = runtime.now();
      const at = Math.max(now, nextAt);
      nextAt = at + encode(table).length / BYTES_PER_MS;
      if (at === now) {
        transfer(host);
        return;
      }
      waiting.add(host);
      runtime.at(at, () => transfer(host));
    },
  };
}
