/** The budget of clients, one test for each pattern of load. */

import {beforeEach, describe, expect, it} from 'vitest';
import {
  createClientBudget,
  deriveClientLimits,
} from '../../decisions/client_budget.js';
import type {
  ClientBudget,
  ClientOrder,
  ClientUse,
} from '../../decisions/client_budget.js';
import {createRunBudget} from '../../decisions/run_budget.js';
import type {RunMessage} from '../../model/message.js';

const MIB = 1_048_576;
const LIMITS = {
  bytes: 4 * MIB,
  sessionBytes: 2 * MIB,
  sessions: 8,
  newPeerConnections: 64,
  connectMs: 1_000,
  partialLineMs: 2_000,
  pressureMs: 500,
  statementsAhead: 10,
  forwardedBytes: 2 * MIB,
};

let budget: ClientBudget;
let nextId: number;

beforeEach(() => {
  budget = createClientBudget(LIMITS);
  nextId = 1;
});

/** Opens a session that has completed its CONNECT. */
function openSession(now = 0): ClientUse {
  const {use} = budget.connect(nextId++, now);
  budget.markOpen(use!, now);
  return use!;
}

function listIds(
  orders: readonly ClientOrder[],
  type: ClientOrder['type'],
): readonly number[] {
  return orders.filter(order => order.type === type).map(({id}) => id);
}

describe('the limits', () => {
  it('follow from the memory and the descriptors of a host', () => {
    const small = deriveClientLimits(202, 2_167);
    expect(small.bytes).toBe(Math.round((92 * MIB) / 8));
    expect(small.sessions).toBe(1_300);
    expect(deriveClientLimits(602, 4_300).bytes).toBe(24 * MIB);
    expect(deriveClientLimits(64, 100).bytes).toBe(4 * MIB);
  });

  it('have defaults, which settings replace one by one', () => {
    const limits = deriveClientLimits(undefined, undefined, {connectMs: 5});
    expect(limits.connectMs).toBe(5);
    expect(limits.sessions).toBeGreaterThan(2_000);
    expect(limits.bytes).toBeGreaterThan(16 * MIB);
  });
});

describe('well-behaved clients', () => {
  it('are never paused nor closed: idle for minutes, and a message of 1 MiB', () => {
    const uses = Array.from({length: 8}, () => openSession());
    const orders = [
      ...budget.setBytes(uses[0]!, 'partialBytes', MIB - 1, 10),
      ...budget.setBytes(uses[0]!, 'partialBytes', 0, 20),
      ...budget.addStatement(uses[0]!, MIB, 20),
      ...budget.sweep(400),
      ...budget.endStatement(uses[0]!, false, 500),
      ...budget.sweep(600_000),
    ];
    expect(orders).toEqual([]);
    expect(budget.countSessions()).toBe(8);
    expect(budget.readBytes()).toBe(0);
    expect(budget.needsSweep()).toBe(false);
  });
});

describe('large messages on many sessions', () => {
  it('are paused above the budget, and read again when bytes are free', () => {
    const uses = Array.from({length: 5}, () => openSession());
    const orders = uses.flatMap(use =>
      budget.setBytes(use, 'partialBytes', 0.9 * MIB, 0),
    );
    expect(listIds(orders, 'pause')).toEqual([5]);
    expect(listIds(orders, 'close')).toEqual([]);
    const freed = budget.setBytes(uses[0]!, 'partialBytes', 0, 10);
    expect(listIds(freed, 'resume')).toEqual([5]);
  });

  it('have the largest closed, not the latest, when no bytes become free', () => {
    const uses = Array.from({length: 5}, () => openSession());
    budget.setBytes(uses[1]!, 'partialBytes', 1.2 * MIB, 0);
    for (const use of [0, 2, 3, 4].map(index => uses[index]!)) {
      budget.setBytes(use, 'partialBytes', 0.8 * MIB, 0);
    }
    expect(budget.sweep(499)).toEqual([]);
    const orders = budget.sweep(500);
    expect(listIds(orders, 'close')).toEqual([2]);
    expect(budget.readBytes()).toBeLessThan(LIMITS.bytes);
    expect(listIds(orders, 'resume').length).toBeGreaterThan(0);
  });

  it('are closed at once a quarter above the budget', () => {
    const uses = Array.from({length: 8}, () => openSession());
    const orders = uses.flatMap((use, index) =>
      budget.setBytes(use, 'partialBytes', 0.7 * MIB + index, 0),
    );
    expect(listIds(orders, 'close')).toEqual([8]);
  });

  it('leave ordinary sessions alone', () => {
    const large = Array.from({length: 5}, () => openSession());
    const ordinary = openSession();
    large.forEach(use => budget.setBytes(use, 'partialBytes', 0.9 * MIB, 0));
    const orders = [
      ...budget.addStatement(ordinary, 100, 1),
      ...budget.endStatement(ordinary, false, 2),
    ];
    expect(orders).toEqual([]);
  });
});

describe('a session that sends ahead', () => {
  it('is not read above its share until its statements are answered', () => {
    const use = openSession();
    budget.addStatement(use, MIB, 0);
    expect(listIds(budget.addStatement(use, MIB, 0), 'pause')).toEqual([1]);
    expect(listIds(budget.endStatement(use, false, 1), 'resume')).toEqual([1]);
  });

  it('is closed with too many unanswered statements', () => {
    const use = openSession();
    const orders = Array.from({length: 11}, () =>
      budget.addStatement(use, 10, 0),
    );
    expect(orders.slice(0, 10).flat()).toEqual([]);
    expect(orders[10]).toMatchObject([{reason: 'too_many_statements'}]);
    expect(budget.readBytes()).toBe(0);
  });
});

describe('sessions that stop half-way', () => {
  it('are closed without a complete CONNECT, or a complete line', () => {
    budget.connect(nextId++, 0);
    const half = openSession();
    budget.setBytes(half, 'partialBytes', 5, 100);
    // A byte at a time does not extend the deadline of the line.
    budget.setBytes(half, 'partialBytes', 6, 1_900);
    expect(budget.sweep(999)).toEqual([]);
    expect(budget.sweep(1_000)).toMatchObject([
      {id: 1, reason: 'connect_not_complete'},
    ]);
    expect(budget.sweep(2_099)).toEqual([]);
    expect(budget.sweep(2_100)).toMatchObject([
      {id: 2, reason: 'line_not_complete'},
    ]);
  });

  it('are not closed for the time that the process was suspended', () => {
    budget.connect(nextId++, 0);
    budget.extendDeadlines(10_000);
    expect(budget.sweep(10_999)).toEqual([]);
    expect(budget.sweep(11_000)).toHaveLength(1);
  });
});

describe('more connections than descriptors', () => {
  it('replace the oldest without a CONNECT first', () => {
    openSession();
    for (let count = 0; count < 7; count++) {
      budget.connect(nextId++, 10 + count);
    }
    expect(listIds(budget.connect(99, 20).orders, 'close')).toEqual([2]);
    expect(budget.countSessions()).toBe(8);
  });

  it('replace one with an unfinished line before one that is idle', () => {
    const uses = Array.from({length: 8}, () => openSession());
    budget.setBytes(uses[5]!, 'partialBytes', 3, 10);
    expect(listIds(budget.connect(99, 5_000).orders, 'close')).toEqual([6]);
  });

  it('replace the session that has been idle longest', () => {
    const uses = Array.from({length: 8}, () => openSession());
    for (const use of uses.filter(({id}) => id !== 4)) {
      budget.addStatement(use, 10, 2_000);
      budget.endStatement(use, false, 2_001);
    }
    expect(listIds(budget.connect(99, 4_000).orders, 'close')).toEqual([4]);
  });

  it('are refused while all sessions are in use', () => {
    const uses = Array.from({length: 8}, () => openSession());
    uses.slice(0, 4).forEach(use => budget.addStatement(use, 10, 2_000));
    uses.slice(4).forEach(use => {
      budget.addStatement(use, 10, 2_000);
      budget.endStatement(use, true, 2_001);
    });
    // Transactions may be idle for 3 s.
    expect(budget.connect(99, 6_000)).toEqual({use: null, orders: []});
    expect(budget.countSessions()).toBe(8);
  });
});

describe('large statements of other hosts', () => {
  const createRun = (request: string, length: number): RunMessage =>
    ({
      type: 'run',
      request,
      statement: {type: 'run', access: 'write', text: 'x'.repeat(length)},
      session: {values: []},
    }) as unknown as RunMessage;

  it('are refused above the budget, until others are answered', () => {
    const runs = createRunBudget(LIMITS.forwardedBytes);
    expect(runs.admit('a', createRun('1', MIB))).toBe(true);
    expect(runs.admit('b', createRun('2', 0.9 * MIB))).toBe(true);
    expect(runs.admit('c', createRun('3', MIB))).toBe(false);
    expect(runs.admit('c', createRun('4', 100))).toBe(true);
    runs.noteSent({
      type: 'ran',
      request: '1',
      result: {type: 'refused', reason: 'too_late'},
    });
    expect(runs.admit('c', createRun('3', MIB))).toBe(true);
    runs.forgetHost('b');
    runs.forgetHost('c');
    expect(runs.readBytes()).toBe(0);
  });

  it('may be malformed: the host that gets them goes on', () => {
    const runs = createRunBudget(LIMITS.forwardedBytes);
    const malformed: unknown[] = [
      {type: 'run'},
      {type: 'run', statement: null, session: null},
      {type: 'run', statement: 5, session: {values: [null, [5]]}},
    ];
    for (const msg of malformed) {
      expect(runs.admit('a', msg as RunMessage)).toBe(true);
    }
  });
});
