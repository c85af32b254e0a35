/**
 * The entry of a host that is separated from the owners of some groups, while
 * other hosts reach them: its callers have to go there.
 */

import {beforeEach, describe, expect, it} from 'vitest';
import {createVirtualRuntime} from '@lacewingroad/runtime';
import type {VirtualRuntime} from '@lacewingroad/runtime';
import {createEntry} from '../../entry/entry.js';
import type {Entry} from '../../entry/entry.js';
import type {CallerReply} from '../../entry/caller_reply.js';
import {TAKEOVER_MS} from '../../decisions/reach.js';
import type {RouteTable} from '../../model/directory.js';
import type {CallerStatement} from '../../model/statement.js';
import {DATABASE, GROUP, TABLE} from '../fake_fleet.js';

const READ: CallerStatement = {type: 'run', access: 'read', text: 'FETCH 1'};
const BEGIN: CallerStatement = {type: 'begin', readOnly: true};
/** Long before the statements of the tests. */
const LOST_AT = -TAKEOVER_MS;

let runtime: VirtualRuntime;
let entry: Entry;
let owner: string | null;
let sent: number;
let replies: CallerReply[];
let closed: number[];
let logged: {event: string; fields: object}[];
let table: RouteTable | null;

beforeEach(() => {
  runtime = createVirtualRuntime(1);
  owner = null;
  sent = 0;
  replies = [];
  closed = [];
  logged = [];
  table = TABLE;
  entry = createEntry({
    ports: {
      runtime,
      record: (_level, event, fields) => logged.push({event, fields}),
      reply: (_caller, reply) => replies.push(reply),
      closeCaller: caller => closed.push(caller),
      afterInput: then => then(),
    },
    incarnation: 'a.1',
    send: () => {
      sent++;
    },
    readTable: () => table,
    findOwner: () => owner,
    isCutOff: () => false,
    readOwnerLostAt: () => (owner === null ? LOST_AT : null),
  });
  entry.open(1, DATABASE);
});

// A host that had just started named every database unknown.
it('asks callers to connect again while there is no table', () => {
  table = null;
  expect(entry.open(2, DATABASE)).toBe('starting');
  table = TABLE;
  expect(entry.open(2, DATABASE)).toBe('opened');
  expect(entry.open(3, 'other')).toBe('no_database');
});

it('logs why its sessions were closed, and what was in progress', () => {
  owner = 'b-1';
  entry.serve(1, 'q1', READ);
  entry.close(1);
  expect(logged.at(-1)).toMatchObject({
    event: 'caller_left',
    fields: {caller_request: 'q1', owner: 'b-1'},
  });
  entry.open(2, DATABASE);
  runtime.runUntil(1_000);
  entry.beginClosing();
  runtime.runUntil(2_000);
  expect(closed).toEqual([2]);
  expect(logged.at(-1)).toEqual({
    event: 'sessions_closed',
    fields: {reason: 'stopping', count: 1},
  });
});

describe('a session whose statement cannot reach the owner', () => {
  it('is closed after the refusal, so that its caller tries another host', () => {
    entry.serve(1, 'q1', READ);
    expect(replies).toMatchObject([{type: 'error', fault: 'busy'}]);
    expect(closed).toEqual([1]);
  });

  it('is closed only once its refused transaction has ended', () => {
    entry.serve(1, 'q1', BEGIN);
    entry.serve(1, 'q2', READ);
    expect(replies.at(-1)).toMatchObject({fault: 'aborted', state: 'failed'});
    expect(closed).toEqual([]);
    entry.serve(1, 'q3', {type: 'rollback'});
    expect(closed).toEqual([1]);
  });

  it('answers what its caller had sent before it is closed', () => {
    owner = 'b-1';
    entry.serve(1, 'q1', READ);
    entry.serve(1, 'q2', READ);
    owner = null;
    entry.handleHostLost('b-1');
    runtime.runUntil(1_000);
    expect(replies).toHaveLength(2);
    expect(closed).toEqual([1]);
  });
});

describe('an idle session of a group that this host does not serve', () => {
  it('is closed, and those of other groups and in use stay open', () => {
    entry.open(2, DATABASE);
    runtime.runUntil(1_000);
    owner = 'b-1';
    entry.serve(2, 'q1', READ);
    expect(sent).toBe(1);
    entry.closeIdleSessions('another');
    expect(closed).toEqual([]);
    entry.closeIdleSessions(GROUP);
    expect(closed).toEqual([1]);
  });
});
