/** Assembles what limits the workspaces of a host. */

import type {GroupId, HostId} from '@lacewingroad/core';
import type {AllowanceTolerance} from '../decisions/allowance_homes.js';
import type {RouteTable} from '../model/directory.js';
import type {HostPorts} from '../ports.js';
import {createAllowanceBook} from './allowance_book.js';
import {createAllowanceExchange} from './allowance_exchange.js';
import type {AllowanceExchange} from './allowance_exchange.js';
import {createAllowanceGate} from './allowance_gate.js';
import type {AllowanceGate} from './allowance_gate.js';

/** Dependencies of the limits of workspaces. */
export interface AllowancesConfig {
  readonly self: HostId;
  readonly ports: Pick<HostPorts, 'runtime' | 'record' | 'send'>;
  readonly tolerance: AllowanceTolerance;
  readonly readTable: () => RouteTable | null;
  readonly isActiveOwner: (group: GroupId) => boolean;
  readonly isLinked: (host: HostId) => boolean;
  readonly findOwner: (group: GroupId) => HostId | null;
}

/** Limits the operations of workspaces at one host. */
export interface Allowances {
  readonly gate: AllowanceGate;
  readonly exchange: Pick<AllowanceExchange, 'handleAsk' | 'handleGrant'>;
  readonly noteGained: (group: GroupId) => void;
  readonly noteLost: (group: GroupId) => void;
  readonly close: () => void;
}

/** Creates the limits of a host that owns no groups yet. */
export function createAllowances(cfg: AllowancesConfig): Allowances {
  const {ports} = cfg;
  const book = createAllowanceBook({...cfg, runtime: ports.runtime});
  const exchange = createAllowanceExchange({
    ...cfg,
    book,
    onBorrowed: () => gate.grantWaiting(),
  });
  const gate = createAllowanceGate({ports, book, exchange});
  return {
    gate,
    exchange,
    noteGained: book.noteGained,
    noteLost: book.noteLost,
    close: () => {
      gate.close();
      exchange.close();
    },
  };
}
