/** A fake core: answers the caller adapter's statements with a function. */

import {createHash} from 'node:crypto';
import type {
  CellValue,
  Column,
  Event,
  Reply,
  Statement,
} from '@lacewingroad/core';
import {createSystemRuntime} from '@lacewingroad/runtime';
import {
  createCallerAdapter,
  type CallerAdapter,
  type CallerAdapterConfig,
} from '../../index.js';

export const ADDRESS = '127.0.0.1';
export const USER = 'collector';
export const PASSWORD = 'pa$$wörd';
export const SECOND_USER = 'scribe';
export const SECOND_PASSWORD = 'ink';

export type StatementHandler = (statement: Statement) => Reply | Promise<Reply>;

export interface FakeCore {
  readonly adapter: CallerAdapter;
  readonly events: Event[];
}

function doubleSha1(password: string): string {
  const once = createHash('sha1').update(password).digest();
  return createHash('sha1').update(once).digest('hex');
}

export function column(
  name: string,
  columnType: number,
  overrides: Partial<Column> = {},
): Column {
  return {
    catalog: 'def',
    schema: 'ledger',
    table: 't',
    orgTable: 't',
    name,
    orgName: name,
    characterSet: 63,
    columnLength: 1_024,
    columnType,
    flags: 0,
    decimals: 0,
    ...overrides,
  };
}

export function rows(
  columns: readonly Column[],
  cells: readonly (readonly (string | Uint8Array | null)[])[],
): Reply {
  const toCell = (cell: string | Uint8Array | null): CellValue =>
    typeof cell === 'string' ? Buffer.from(cell) : cell;
  const result = {
    type: 'rows',
    columns,
    rows: cells.map(row => row.map(toCell)),
  } as const;
  return {type: 'result', result, inTx: false, autocommit: true};
}

export function ok(info = '', insertId = '0', affectedRows = 0): Reply {
  const result = {type: 'ok', affectedRows, insertId, info} as const;
  return {type: 'result', result, inTx: false, autocommit: true};
}

/**
 * Starts an adapter that answers statements with the results of
 * `handleStatement`; USE always succeeds.
 */
export async function startFakeCore(
  handleStatement: StatementHandler,
  overrides: Partial<CallerAdapterConfig> = {},
): Promise<FakeCore> {
  const adapter = await createCallerAdapter({
    runtime: createSystemRuntime(),
    address: ADDRESS,
    port: 0,
    users: [
      {name: USER, passwordSha1: doubleSha1(PASSWORD), services: ['orders']},
      {
        name: SECOND_USER,
        passwordSha1: doubleSha1(SECOND_PASSWORD),
        services: ['proofs'],
      },
    ],
    ...overrides,
  });
  const events: Event[] = [];
  adapter.events$.subscribe(event => {
    events.push(event);
    if (event.type === 'caller_use') {
      const {caller, seq} = event;
      adapter.performers.reply({type: 'reply', caller, seq, reply: ok()});
    }
    if (event.type === 'caller_statement') {
      const {caller, seq, statement} = event;
      void Promise.resolve(handleStatement(statement)).then(reply =>
        adapter.performers.reply({type: 'reply', caller, seq, reply}),
      );
    }
  });
  return {adapter, events};
}
