import {beforeEach, describe, expect, it} from 'vitest';
import {FALLBACK_ROW} from '@lacewingroad/core';
import type {TableObject} from '@lacewingroad/core';
import {runCli} from '../../cli.js';
import {formatTableFile} from '../../table_file.js';
import {FakeHosts, FakeOperator, FakePlatform} from './fake_context.js';

const KEY = 'tables/orders';
const APPLY = ['table', 'apply', 'orders.csv', '--note'];

let platform: FakePlatform;
let hosts: FakeHosts;
let ana: FakeOperator;
let bea: FakeOperator;

async function run(operator: FakeOperator, ...args: string[]): Promise<number> {
  operator.out = '';
  operator.err = '';
  return runCli(operator.context(), args);
}

async function getFile(operator: FakeOperator): Promise<void> {
  operator.files.delete('orders.csv');
  await run(operator, 'table', 'get', 'orders', '--out', 'orders.csv');
}

function edit(operator: FakeOperator, from: string, to: string): void {
  const text = operator.files.get('orders.csv') ?? '';
  operator.files.set('orders.csv', text.replace(from, to));
}

function standing(): TableObject {
  return platform.objects.get(KEY)?.value as TableObject;
}

beforeEach(async () => {
  platform = new FakePlatform();
  hosts = new FakeHosts(platform);
  ana = new FakeOperator('ana', platform, hosts);
  bea = new FakeOperator('bea', platform, hosts);
  platform.set('groups/commissions', {});
  const rows = [
    {...FALLBACK_ROW, kind: 'payment', rank: 'urgent' as const, targetMs: 200},
    FALLBACK_ROW,
  ];
  const base = {service: 'any', group: 'any', version: 0};
  ana.files.set('new.csv', formatTableFile(base, rows));
  const create = 'table create orders --group commissions --from new.csv';
  expect(await run(ana, ...create.split(' '))).toBe(0);
  platform.puts = 0;
  await getFile(ana);
  await getFile(bea);
});

describe('table apply', () => {
  it('prints the differences and reads back until in force', async () => {
    edit(ana, 'payment,urgent,1,200', 'payment,urgent,1,100');
    expect(await run(ana, ...APPLY, 'orders were slow')).toBe(0);
    expect(ana.out).toContain('row payment: target_ms 200 -> 100');
    expect(ana.out).toContain('in force on 2 of 2 live hosts');
    expect(standing()).toMatchObject({
      editedBy: 'ana',
      note: 'orders were slow',
    });
  });

  it('refuses the later of two operators and names who, what and why', async () => {
    edit(ana, 'payment,urgent,1,200', 'payment,urgent,1,100');
    edit(bea, 'payment,urgent,1,200', 'payment,urgent,1,300');
    expect(await run(ana, ...APPLY, 'orders were slow')).toBe(0);
    expect(await run(bea, ...APPLY, 'save slots')).toBe(1);
    expect(bea.err).toContain('based on version 1, but version 2 stands');
    expect(bea.err).toContain('by ana: orders were slow');
    expect(bea.err).toContain('row payment: target_ms 200 -> 100');
    expect(bea.err).toContain('table get');
    expect(standing().rows[0]?.targetMs).toBe(100);
  });

  it('refuses an operator who is overtaken between reading and writing', async () => {
    edit(ana, 'payment,urgent,1,200', 'payment,urgent,1,100');
    edit(bea, 'payment,urgent,1,200', 'payment,urgent,1,300');
    const exitCodes = await Promise.all([
      run(ana, ...APPLY, 'orders were slow'),
      run(bea, ...APPLY, 'save slots'),
    ]);
    expect(exitCodes).toEqual([0, 1]);
    expect(platform.puts).toBe(2);
    expect(platform.objects.get(KEY)?.version).toBe(2);
    expect(bea.err).toContain('by ana: orders were slow');
  });

  it('recognises its own edit when the answer was lost', async () => {
    edit(ana, 'payment,urgent,1,200', 'payment,urgent,1,100');
    platform.fates.push('lose_answer');
    expect(await run(ana, ...APPLY, 'orders were slow')).toBe(0);
    expect(platform.puts).toBe(1);
    expect(standing().history).toHaveLength(2);
  });

  it('sends the same edit again when the request was lost', async () => {
    edit(ana, 'payment,urgent,1,200', 'payment,urgent,1,100');
    platform.fates.push('lose_request', 'refuse', 'lose_answer');
    expect(await run(ana, ...APPLY, 'orders were slow')).toBe(0);
    expect(platform.puts).toBe(3);
    expect(platform.objects.get(KEY)?.version).toBe(2);
  });

  it('finds its own edit below a later one', async () => {
    edit(ana, 'payment,urgent,1,200', 'payment,urgent,1,100');
    platform.fates.push('lose_answer');
    await run(ana, ...APPLY, 'orders were slow');
    await getFile(bea);
    edit(bea, 'payment,urgent,1,100', 'payment,urgent,1,90');
    expect(await run(bea, ...APPLY, 'more')).toBe(0);
    expect(await run(ana, ...APPLY, 'orders were slow')).toBe(0);
    expect(ana.out).toContain('applied before');
    expect(ana.out).toContain('by bea: more');
    expect(standing().history).toHaveLength(3);
  });

  it('rides out an outage in the middle', async () => {
    edit(ana, 'payment,urgent,1,200', 'payment,urgent,1,100');
    platform.fates.push('lose_answer');
    platform.beforePut = () => {
      platform.failingReads = 5;
    };
    expect(await run(ana, ...APPLY, 'orders were slow')).toBe(0);
    expect(platform.objects.get(KEY)?.version).toBe(2);
  });

  it('says that the fate is unknown, and settles it when run again', async () => {
    edit(ana, 'payment,urgent,1,200', 'payment,urgent,1,100');
    platform.fates.push('lose_answer', ...Array<'refuse'>(200).fill('refuse'));
    platform.beforePut = () => {
      platform.failingReads = Infinity;
    };
    expect(await run(ana, ...APPLY, 'orders were slow')).toBe(3);
    expect(ana.err).toContain('not known whether');
    platform.failingReads = 0;
    platform.fates.length = 0;
    expect(await run(ana, ...APPLY, 'orders were slow')).toBe(0);
    expect(platform.objects.get(KEY)?.version).toBe(2);
  });

  it('names the hosts on which an edit is not in force', async () => {
    edit(ana, 'payment,urgent,1,200', 'payment,urgent,1,100');
    hosts.stuck.set('lima-b-1', 1);
    expect(await run(ana, ...APPLY, 'orders were slow')).toBe(1);
    expect(ana.out).toContain('on 1 of 2 live hosts. Missing: lima-b-1.');
  });

  it('needs a note and writes nothing without one', async () => {
    edit(ana, 'payment,urgent,1,200', 'payment,urgent,1,100');
    expect(await run(ana, 'table', 'apply', 'orders.csv')).toBe(2);
    expect(ana.err).toContain('--note');
    expect(platform.puts).toBe(0);
  });

  it('reports all faults of a file and writes nothing', async () => {
    edit(ana, 'payment,urgent,1,200', 'payment,soon,x,200');
    expect(await run(ana, ...APPLY, 'why')).toBe(1);
    expect(ana.err).toContain('column rank: found "soon"');
    expect(ana.err).toContain('column worth: found "x"');
    expect(platform.puts).toBe(0);
  });

  it('writes nothing for a file without changes', async () => {
    expect(await run(ana, ...APPLY, 'why')).toBe(0);
    expect(platform.puts).toBe(0);
  });
});

describe('table get', () => {
  it('never replaces a file, which may hold an edit', async () => {
    edit(ana, 'payment,urgent,1,200', 'payment,urgent,1,100');
    const args = ['table', 'get', 'orders', '--out', 'orders.csv'];
    expect(await run(ana, ...args)).toBe(1);
    expect(ana.files.get('orders.csv')).toContain('payment,urgent,1,100');
  });
});

describe('table create', () => {
  it('refuses an existing service and an unknown group', async () => {
    const create = ['table', 'create', 'orders', '--from', 'new.csv'];
    expect(await run(ana, ...create, '--group', 'nobody')).toBe(1);
    expect(ana.err).toContain('it has: commissions');
    const again = [...create, '--group', 'commissions', '--note', 'again'];
    expect(await run(ana, ...again)).toBe(1);
    expect(ana.err).toContain('has a table already, at version 1');
  });
});

describe('table status and log', () => {
  it('names hosts that do not answer', async () => {
    hosts.silent.add('lima-b-1');
    expect(await run(ana, 'table', 'status')).toBe(1);
    expect(ana.out).toContain('Missing: lima-b-1');
    expect(ana.out).toContain('no answer: 127.0.2.1:3 is unreachable');
  });

  it('asks an entry host for the list while the platform is out', async () => {
    platform.failingReads = Infinity;
    expect(await run(ana, 'table', 'status')).toBe(3);
    expect(await run(ana, 'table', 'status', '--host', '127.0.1.1:3')).toBe(0);
    expect(ana.out).toContain('in force on 2 of 2 live hosts');
    expect(ana.out).toContain('The platform did not answer');
  });

  it('shows the history with notes as text and as JSON', async () => {
    expect(await run(ana, 'table', 'log', 'orders')).toBe(0);
    expect(ana.out).toContain('by ana: created');
    expect(await run(ana, 'table', 'log', 'orders', '--json')).toBe(0);
    expect(JSON.parse(ana.out)).toMatchObject([{version: 1, editedBy: 'ana'}]);
  });
});

describe('command line', () => {
  it('refuses what it does not know and helps with what it does', async () => {
    expect(await run(ana, 'table', 'status', '--wat')).toBe(2);
    expect(await run(ana, 'table', 'nothing')).toBe(2);
    expect(await run(ana, 'table', 'get')).toBe(2);
    expect(await run(ana, 'hosts', '--host', 'lima-a-1')).toBe(2);
    expect(await run(ana, 'table', 'apply', '--help')).toBe(0);
    expect(ana.out).toContain('Exit codes');
  });

  it('asks no second host when the answer to a failover was lost', async () => {
    expect(await run(ana, 'failover', 'commissions')).toBe(3);
    expect(hosts.posts).toEqual([{group: 'commissions', to: null}]);
    expect(ana.err).toContain('not known whether the primary');
  });
});
