/** Classifies errors of connections to endpoints. */

import type {ConnFault} from '@lacewingroad/core';

/** An error of mysql2 or of the socket. */
export interface Mysql2Error extends Error {
  readonly code?: string;
  readonly errno?: number;
  readonly sqlState?: string;
  readonly sqlMessage?: string;
}

const FAULT_BY_CODE: Readonly<Record<string, ConnFault>> = {
  ECONNREFUSED: 'refused',
  EADDRNOTAVAIL: 'refused',
  EHOSTUNREACH: 'refused',
  ENETUNREACH: 'refused',
  ETIMEDOUT: 'timeout',
  ECONNRESET: 'reset',
  EPIPE: 'reset',
  PROTOCOL_CONNECTION_LOST: 'reset',
};

const FAULT_BY_ERRNO: ReadonlyMap<number, ConnFault> = new Map([
  [1040, 'too_many'],
  [1203, 'too_many'],
  [1226, 'too_many'],
  [1044, 'access_denied'],
  [1045, 'access_denied'],
  [1698, 'access_denied'],
]);

/** Returns the kind of an error that closed a connection. */
export function classifyConnError(err: Mysql2Error): ConnFault {
  const byCode = FAULT_BY_CODE[err.code ?? ''];
  return byCode ?? FAULT_BY_ERRNO.get(err.errno ?? 0) ?? 'protocol';
}
