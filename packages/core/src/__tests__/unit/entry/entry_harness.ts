/** Dispatches events to the entry controllers and collects their actions. */

import {Map as ImmutableMap} from 'immutable';
import {createControlSlices} from '../../../control/state.js';
import type {Reply} from '../../../engine/action.js';
import type {Blackboard} from '../../../engine/blackboard.js';
import {answersFeature} from '../../../entry/answers.js';
import {heldSessionsFeature} from '../../../entry/held_sessions.js';
import {holdersFeature} from '../../../entry/holders.js';
import {createEntrySlices} from '../../../entry/state.js';
import {statementsFeature} from '../../../entry/statements.js';
import {lifecycleFeature} from '../../../lifecycle/lifecycle.js';
import type {GroupObject} from '../../../model/group.js';
import type {RunMessage} from '../../../model/message.js';
import type {Outcome} from '../../../model/outcome.js';
import type {LogPosition} from '../../../model/position.js';
import {FALLBACK_ROW} from '../../../model/table.js';
import type {TableRow} from '../../../model/table.js';
import {createOwnerSlices} from '../../../owner/state.js';
import {BoardHarness, GROUP, createSelf} from '../board_harness.js';

export const HOST = 'a1';
export const OWNERS = {e1: 'a2', e2: 'b1', e3: 'c1'} as const;

const GROUP_OBJECT: GroupObject = {
  id: GROUP,
  term: 3,
  primary: 'e1',
  fence: null,
  starts: [{term: 3, index: 100}],
  endpoints: Object.keys(OWNERS).map((id, index) => ({
    id,
    dataCentre: 'abc'[index]!,
    address: id,
    port: 1,
    slots: 3,
    maxConnections: 24,
    leaving: false,
  })),
  owners: OWNERS,
};

const ROWS: readonly TableRow[] = [
  {...FALLBACK_ROW, kind: '*', maxStalenessMs: null},
  {...FALLBACK_ROW, kind: 'repeatable', maxStalenessMs: 0, mayRepeat: true},
  {...FALLBACK_ROW, kind: 'short_target', maxStalenessMs: null, targetMs: 100},
];

function createBoard(retryTokens: number): Blackboard {
  const control = createControlSlices();
  const table = {service: 's', group: GROUP, rows: ROWS};
  const edit = {editId: '', editedBy: '', note: '', history: []};
  const hosts = [HOST, 'a2', 'b1', 'b2', 'c1'].map(id => ({
    id,
    dataCentre: id[0]!,
    state: 'live' as const,
    peerAddress: id,
    callerAddress: id,
    operatorAddress: id,
  }));
  return {
    self: createSelf(HOST),
    ...control,
    view: {
      ...control.view,
      freshAt: 0,
      groups: ImmutableMap({
        [GROUP]: {version: 1, revision: 1, value: GROUP_OBJECT},
      }),
      tables: ImmutableMap({
        s: {version: 1, revision: 1, value: {...table, ...edit}},
      }),
      hosts: ImmutableMap(
        hosts.map(value => [value.id, {version: 1, revision: 1, value}]),
      ),
    },
    ...createOwnerSlices(),
    ...createEntrySlices(retryTokens),
  };
}

export class EntryHarness extends BoardHarness {
  private seq = 0;

  constructor(retryTokens = 10) {
    super(createBoard(retryTokens), [
      lifecycleFeature,
      heldSessionsFeature,
      holdersFeature,
      statementsFeature,
      answersFeature,
    ]);
  }

  open(caller = 1, attributes: Readonly<Record<string, string>> = {}): void {
    const common = {user: 'u', service: 's', allowedServices: ['*']};
    this.feed({type: 'caller_opened', caller, ...common, attributes});
  }

  /** Sends a statement and returns its number. */
  send(sql: string, caller = 1): number {
    const seq = ++this.seq;
    const statement = {sql, params: null};
    this.feed({type: 'caller_statement', caller, seq, statement});
    return seq;
  }

  /** Marks hosts as unreachable from this one. */
  markUnreachable(...hosts: readonly string[]): void {
    this.change(board => ({
      ...board,
      membership: {
        ...board.membership,
        unreachableUntil: ImmutableMap(hosts.map(host => [host, Infinity])),
      },
    }));
  }

  lastRun(): {host: string; msg: RunMessage} {
    return this.sent('run').at(-1)!;
  }

  /** Answers a run message, by default the last one. */
  answer(outcome: Outcome, run = this.lastRun()): void {
    const {request, attempt} = run.msg;
    const report = null;
    this.message(run.host, {type: 'ran', request, attempt, outcome, report});
  }

  done(
    position: LogPosition | null = null,
    inTx = false,
    run = this.lastRun(),
  ): void {
    const result = {type: 'ok', affectedRows: 1, insertId: '0', info: ''};
    this.answer(
      {type: 'done', result: {...result, type: 'ok'}, position, inTx},
      run,
    );
  }

  replies(seq: number): readonly Reply[] {
    return this.actions
      .filter(action => action.type === 'reply')
      .filter(action => action.seq === seq)
      .map(action => action.reply);
  }

  /** The outcome of a statement: `ok`, an error number, or undefined. */
  outcomeOf(seq: number): number | 'ok' | undefined {
    const all = this.replies(seq);
    if (all.length > 1) {
      throw new Error(`Statement ${seq} was answered ${all.length} times.`);
    }
    const reply = all[0];
    return reply?.type === 'error' ? reply.error.errno : reply && 'ok';
  }

  /** The first value of a result, as text. */
  value(seq: number): string {
    const reply = this.replies(seq)[0];
    if (reply?.type !== 'result' || reply.result.type !== 'rows') {
      throw new Error(`Statement ${seq} has no rows.`);
    }
    return Buffer.from(reply.result.rows[0]![0]!).toString();
  }

  /** Whether a caller's connection was closed. */
  isClosed(caller = 1): boolean {
    return this.actions.some(
      action => action.type === 'close_caller' && action.caller === caller,
    );
  }
}

/** Starts a harness with one caller and connections to all peers. */
export function startEntryHarness(retryTokens?: number): EntryHarness {
  const harness = new EntryHarness(retryTokens);
  harness.feed({type: 'started'});
  for (const host of ['a2', 'b1', 'b2', 'c1']) {
    harness.feed({type: 'peer_up', host, generation: 1});
  }
  harness.open();
  return harness;
}
