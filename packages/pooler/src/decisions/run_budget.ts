/**
 * Decides which large statements an owner takes from other hosts. Each host
 * bounds what its own clients send; an owner gets the sum of many hosts.
 */

import type {HostId} from '@lacewingroad/core';
import type {PoolMessage, RunMessage} from '../model/message.js';

/** Smaller statements are bounded by the length of the queue, in bytes. */
const LARGE_BYTES = 16 * 1_024;

/** The large statements of other hosts that an owner has not answered. */
export interface RunBudget {
  /** Counts a message to this host; false if it must be refused. */
  readonly admit: (host: HostId, msg: PoolMessage) => boolean;
  /** Counts a message that this host sends. */
  readonly noteSent: (msg: PoolMessage) => void;
  /** Forgets the statements of a host whose connection is lost. */
  readonly forgetHost: (host: HostId) => void;
  readonly readBytes: () => number;
}

/** Returns the length of a text; 0 for a malformed field. */
function lengthOf(text: unknown): number {
  return typeof text === 'string' ? text.length : 0;
}

/** Returns the bytes of a statement and of its session, well-formed or not. */
function countBytes({statement, session}: RunMessage): number {
  const fields = statement as Readonly<Record<string, unknown>> | undefined;
  const own =
    lengthOf(fields?.['text']) +
    lengthOf(fields?.['args']) +
    lengthOf(fields?.['shape']);
  const values: unknown = session?.values;
  if (!Array.isArray(values) || values.length === 0) {
    return own;
  }
  return values.flat().reduce((sum: number, text) => sum + lengthOf(text), own);
}

/** Creates the budget of a host, in bytes. */
export function createRunBudget(limitBytes: number): RunBudget {
  const runs = new Map<string, {host: HostId; bytes: number}>();
  let total = 0;

  const end = (request: string): void => {
    total -= runs.get(request)?.bytes ?? 0;
    runs.delete(request);
  };

  return {
    admit: (host, msg) => {
      if (msg.type !== 'run') {
        return true;
      }
      const bytes = countBytes(msg);
      if (bytes < LARGE_BYTES) {
        return true;
      }
      if (total + bytes > limitBytes) {
        return false;
      }
      end(msg.request);
      runs.set(msg.request, {host, bytes});
      total += bytes;
      return true;
    },
    noteSent: msg => {
      if (runs.size > 0 && msg.type === 'ran') {
        end(msg.request);
      }
    },
    forgetHost: host => {
      for (const [request, run] of runs) {
        if (run.host === host) {
          end(request);
        }
      }
    },
    readBytes: () => total,
  };
}
