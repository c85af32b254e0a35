/** The message by which an entry host asks an owner to run a statement. */

import type {RunMessage} from '../../model/message.js';
import {GROUP} from './board_harness.js';

/** Returns a message for a read at an endpoint. */
export function createRunMessage(
  endpoint: string,
  request: string,
): RunMessage {
  return {
    type: 'run',
    request,
    attempt: 1,
    group: GROUP,
    endpoint,
    term: null,
    mode: 'autocommit',
    tx: null,
    statement: {sql: `SELECT '${request}'`, params: null},
    isWrite: false,
    service: 's',
    kind: 'k',
    rank: 'standard',
    worth: 1,
    connectionLimit: 10,
    floorPercent: 0,
    callerKey: 'c',
    targetLeftMs: 1_000,
    timeoutLeftMs: 10_000,
    minPosition: null,
    maxStalenessMs: null,
    ack: 'primary',
    key: null,
  };
}
