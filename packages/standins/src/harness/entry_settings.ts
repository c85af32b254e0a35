/**
 * Formats the settings files of entry hosts. The other modules of the harness do
 * not depend on their format.
 */

import {createHash} from 'node:crypto';
import {stringify} from 'yaml';
import {formatHostPort} from '../http.js';
import type {HostPort} from '../http.js';
import type {EntryPlan} from './site_plan.js';

/** The account that callers use on the entry hosts of a test site. */
export const CALLER_ACCOUNT = {user: 'app', password: 'app-secret'} as const;

/** The account that entry hosts use on the endpoints. */
const ENDPOINT_ACCOUNT = {user: 'ledger', password: 'ledger-secret'} as const;

const DEFAULT_LOG_LEVEL = 'info';

/** Another entry host, listed under `seeds` in the settings. */
export interface EntrySeed {
  readonly id: string;
  readonly dataCentre: string;
  readonly peer: HostPort;
}

function doubleSha1(password: string): string {
  const once = createHash('sha1').update(password).digest();
  return createHash('sha1').update(once).digest('hex');
}

/** Returns the YAML text of one entry host's settings. */
export function formatEntrySettings(
  entry: EntryPlan,
  platform: HostPort,
  logLevel: string = DEFAULT_LOG_LEVEL,
  seeds: readonly EntrySeed[] = [],
): string {
  return stringify({
    host: entry.id,
    data_centre: entry.dataCentre,
    address: entry.address,
    listen: {
      caller: entry.caller.port,
      peer: entry.peer.port,
      operator: entry.operator.port,
    },
    platform: {url: `http://${formatHostPort(platform)}`},
    seeds: seeds.map(({id, dataCentre, peer}) => ({
      host: id,
      data_centre: dataCentre,
      peer: formatHostPort(peer),
    })),
    endpoints: ENDPOINT_ACCOUNT,
    users: [
      {
        name: CALLER_ACCOUNT.user,
        password_sha1: doubleSha1(CALLER_ACCOUNT.password),
        services: ['*'],
      },
    ],
    // Tests count log lines, so log rate limiting must be off.
    log: {level: logLevel, lines_per_second: 0},
  });
}
