/** Messages of other hosts that are malformed. */

import {describe, expect, it} from 'vitest';
import {isWellFormed} from '../../model/message_check.js';
import type {PoolMessage} from '../../model/message.js';
import {packTable} from '../../model/directory.js';
import {createFleet, GROUP, TABLE} from '../fake_fleet.js';

const RUN: PoolMessage = {
  type: 'run',
  request: 'r1',
  callerRequest: 'q1',
  group: GROUP,
  database: 'db',
  workspace: 'w1',
  keyDigest: 'd1',
  tableVersion: 3,
  tx: {id: 't1', readOnly: true, isFirst: true},
  statement: {type: 'run', access: 'read', text: 'FETCH 1'},
  session: {values: [['a', 'b']]},
  consistency: 'session',
  maxStalenessMs: 0,
  position: {term: 1, index: 2},
  priority: 0,
  targetLeftMs: 100,
  timeoutLeftMs: 800,
};
const OWNERSHIP = {
  group: GROUP,
  owner: {host: 'lima-a-1', address: 'lima-a-1:1'},
  incarnation: 'x',
  generation: 3,
  deputies: [],
  renewals: 0,
  lineage: {
    members: [
      {endpoint: 'i-1', startedAt: 1},
      {endpoint: 'i-2', startedAt: 1, ackedBefore: {term: 1, index: 2}},
    ],
    term: 1,
    promoting: ['i-2'],
  },
};
const PROMOTIONS = {promoting: ['i-1'], term: 1};
const MESSAGES: readonly PoolMessage[] = [
  RUN,
  {...RUN, tx: null, position: null, statement: {type: 'commit'}},
  {type: 'ran', request: 'r', result: {type: 'refused', reason: 'no_owner'}},
  {
    type: 'ran',
    request: 'r',
    result: {type: 'done', rows: ['x'], signature: '-', position: null},
  },
  {type: 'close_tx', group: GROUP, tx: 't'},
  {type: 'lease_ask', group: GROUP, generation: 1, revision: 1, ask: 1},
  {
    type: 'lease_ask',
    group: GROUP,
    generation: 1,
    revision: 1,
    ask: 1,
    promotions: PROMOTIONS,
  },
  {type: 'lease_grant', group: GROUP, generation: 1, ask: 1, isGranted: true},
  {
    type: 'lease_grant',
    group: GROUP,
    generation: 1,
    ask: 1,
    isGranted: true,
    isNoted: true,
  },
  {type: 'consent_ask', group: GROUP, revision: 1},
  {type: 'consent', group: GROUP, revision: 1},
  {type: 'consent', group: GROUP, revision: 1, promotions: PROMOTIONS},
  {type: 'promotion_ask', group: GROUP, generation: 1},
  {type: 'promotion_report', group: GROUP, generation: 1, promotions: null},
  {type: 'owner_state', group: GROUP, generation: 1, isActive: false},
  {type: 'record', stored: {revision: 1, ownership: OWNERSHIP}},
  {type: 'table_ask', ask: 1, version: null},
  {type: 'table_news', ask: null, ageMs: 3, table: packTable(TABLE)},
  {
    type: 'allowance_ask',
    ask: 1,
    needs: [{workspace: 'w', admission: 1.5, start: 0}],
  },
  {
    type: 'allowance_grant',
    ask: 1,
    loans: [{workspace: 'w', admission: 1, start: 0, left: 2}],
  },
  {type: 'hello', isDraining: false},
];

/** Fields that hosts of earlier versions do not send. */
const ADDED_FIELDS: ReadonlySet<string> = new Set([
  'run.database',
  'run.workspace',
  'run.keyDigest',
  'run.tableVersion',
  'lease_ask.promotions',
  'lease_grant.isNoted',
  'consent.promotions',
]);

/** Returns copies of a message that each lack or spoil one field. */
function spoil(msg: PoolMessage): readonly PoolMessage[] {
  return Object.keys(msg).flatMap(name => {
    const spoilt = {...msg, [name]: {nested: true}} as unknown as PoolMessage;
    const lacking = {...msg, [name]: undefined} as unknown as PoolMessage;
    return ADDED_FIELDS.has(`${msg.type}.${name}`)
      ? [spoilt]
      : [spoilt, lacking];
  });
}

describe('a message of another host', () => {
  it.each(MESSAGES)('of type $type is accepted when it is complete', msg => {
    expect(isWellFormed(msg)).toBe(true);
  });

  it.each(MESSAGES)('of type $type is refused when a field is wrong', msg => {
    spoil(msg).forEach(spoilt => expect(isWellFormed(spoilt)).toBe(false));
  });

  it('does no harm when it is malformed', async () => {
    const fleet = createFleet(['lima-a', 'lima-b', 'lima-c'], 2);
    await fleet.passTime(4_000);
    const [sender, ...others] = fleet.hosts.values();
    for (const {host} of others) {
      MESSAGES.flatMap(spoil).forEach(msg => {
        host.handleMessage(sender!.name, msg);
        host.handleMessage('unknown', msg);
      });
    }
    await fleet.passTime(500);
    expect(await fleet.write('lima-b-1')).toMatchObject({type: 'done'});
  });
});
