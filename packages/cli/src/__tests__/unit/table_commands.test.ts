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

async function runCommand(
  operator: FakeOperator,
  ...args: string[]
): Promise<number> {
  operator.out = '';
  operator.err = '';
  return runCli(operator.context(), args);
}

async function downloadTable(operator: FakeOperator): Promise<void> {
  operator.files.delete('orders.csv');
  await runCommand(operator, 'table', 'get', 'orders', '--out', 'orders.csv');
}

function editFile(operator: FakeOperator, from: string, to: string): void {
  const text = operator.files.get('orders.csv') ?? '';
  operator.files.set('orders.csv', text.replace(from, to));
}

function getStoredTable(): TableObject {
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
  expect(await runCommand(ana, ...create.split(' '))).toBe(0);
  platform.putCount = 0;
  await downloadTable(ana);
  await downloadTable(bea);
});

describe('table apply', () => {
  it('prints the differences and waits until the edit is in force', async () => {
    editFile(ana, 'payment,urgent,1,200', 'payment,urgent,1,100');
    expect(await runCommand(ana, ...APPLY, 'orders were slow')).toBe(0);
    expect(ana.out).toContain('row payment: target_ms 200 -> 100');
    expect(ana.out).toContain('in force on 2 of 2 live hosts');
    expect(getStoredTable()).toMatchObject({
      editedBy: 'ana',
      note: 'orders were slow',
    });
  });

  it('refuses the second of two edits and reports author, change and note of the first', async () => {
    editFile(ana, 'payment,urgent,1,200', 'payment,urgent,1,100');
    editFile(bea, 'payment,urgent,1,200', 'payment,urgent,1,300');
    expect(await runCommand(ana, ...APPLY, 'orders were slow')).toBe(0);
    expect(await runCommand(bea, ...APPLY, 'save slots')).toBe(1);
    expect(bea.err).toContain(
      'based on version 1, but the current version is 2',
    );
    expect(bea.err).toContain('by ana: orders were slow');
    expect(bea.err).toContain('row payment: target_ms 200 -> 100');
    expect(bea.err).toContain('table get');
    expect(getStoredTable().rows[0]?.targetMs).toBe(100);
  });

  it('refuses an edit when another one is written between its read and write', async () => {
    editFile(ana, 'payment,urgent,1,200', 'payment,urgent,1,100');
    editFile(bea, 'payment,urgent,1,200', 'payment,urgent,1,300');
    const exitCodes = await Promise.all([
      runCommand(ana, ...APPLY, 'orders were slow'),
      runCommand(bea, ...APPLY, 'save slots'),
    ]);
    expect(exitCodes).toEqual([0, 1]);
    expect(platform.putCount).toBe(2);
    expect(platform.objects.get(KEY)?.version).toBe(2);
    expect(bea.err).toContain('by ana: orders were slow');
  });

  it('recognises its own edit when the answer was lost', async () => {
    editFile(ana, 'payment,urgent,1,200', 'payment,urgent,1,100');
    platform.putOutcomes.push('lose_answer');
    expect(await runCommand(ana, ...APPLY, 'orders were slow')).toBe(0);
    expect(platform.putCount).toBe(1);
    expect(getStoredTable().history).toHaveLength(2);
  });

  it('sends the same edit again when the request was lost', async () => {
    editFile(ana, 'payment,urgent,1,200', 'payment,urgent,1,100');
    platform.putOutcomes.push('lose_request', 'refuse', 'lose_answer');
    expect(await runCommand(ana, ...APPLY, 'orders were slow')).toBe(0);
    expect(platform.putCount).toBe(3);
    expect(platform.objects.get(KEY)?.version).toBe(2);
  });

  it('recognises its own edit below a later one', async () => {
    editFile(ana, 'payment,urgent,1,200', 'payment,urgent,1,100');
    platform.putOutcomes.push('lose_answer');
    await runCommand(ana, ...APPLY, 'orders were slow');
    await downloadTable(bea);
    editFile(bea, 'payment,urgent,1,100', 'payment,urgent,1,90');
    expect(await runCommand(bea, ...APPLY, 'more')).toBe(0);
    expect(await runCommand(ana, ...APPLY, 'orders were slow')).toBe(0);
    expect(ana.out).toContain('already applied');
    expect(ana.out).toContain('by bea: more');
    expect(getStoredTable().history).toHaveLength(3);
  });

  it('survives a platform outage during the write', async () => {
    editFile(ana, 'payment,urgent,1,200', 'payment,urgent,1,100');
    platform.putOutcomes.push('lose_answer');
    platform.beforePut = () => {
      platform.remainingReadFailures = 5;
    };
    expect(await runCommand(ana, ...APPLY, 'orders were slow')).toBe(0);
    expect(platform.objects.get(KEY)?.version).toBe(2);
  });

  it('reports an unknown outcome and resolves it when run again', async () => {
    editFile(ana, 'payment,urgent,1,200', 'payment,urgent,1,100');
    platform.putOutcomes.push(
      'lose_answer',
      ...Array<'refuse'>(200).fill('refuse'),
    );
    platform.beforePut = () => {
      platform.remainingReadFailures = Infinity;
    };
    expect(await runCommand(ana, ...APPLY, 'orders were slow')).toBe(3);
    expect(ana.err).toContain('not known whether');
    platform.remainingReadFailures = 0;
    platform.putOutcomes.length = 0;
    expect(await runCommand(ana, ...APPLY, 'orders were slow')).toBe(0);
    expect(platform.objects.get(KEY)?.version).toBe(2);
  });

  it('lists the hosts on which an edit is not in force', async () => {
    editFile(ana, 'payment,urgent,1,200', 'payment,urgent,1,100');
    hosts.stuck.set('lima-b-1', 1);
    expect(await runCommand(ana, ...APPLY, 'orders were slow')).toBe(1);
    expect(ana.out).toContain('on 1 of 2 live hosts. Missing: lima-b-1.');
  });

  it('needs a note and writes nothing without one', async () => {
    editFile(ana, 'payment,urgent,1,200', 'payment,urgent,1,100');
    expect(await runCommand(ana, 'table', 'apply', 'orders.csv')).toBe(2);
    expect(ana.err).toContain('--note');
    expect(platform.putCount).toBe(0);
  });

  it('reports all errors of a file and writes nothing', async () => {
    editFile(ana, 'payment,urgent,1,200', 'payment,soon,x,200');
    expect(await runCommand(ana, ...APPLY, 'why')).toBe(1);
    expect(ana.err).toContain('column rank: found "soon"');
    expect(ana.err).toContain('column worth: found "x"');
    expect(platform.putCount).toBe(0);
  });

  it('writes nothing for a file without changes', async () => {
    expect(await runCommand(ana, ...APPLY, 'why')).toBe(0);
    expect(platform.putCount).toBe(0);
  });
});

describe('table get', () => {
  it('never replaces a file, which may hold an edit', async () => {
    editFile(ana, 'payment,urgent,1,200', 'payment,urgent,1,100');
    const args = ['table', 'get', 'orders', '--out', 'orders.csv'];
    expect(await runCommand(ana, ...args)).toBe(1);
    expect(ana.files.get('orders.csv')).toContain('payment,urgent,1,100');
  });
});

describe('table create', () => {
  it('refuses an existing service and an unknown group', async () => {
    const create = ['table', 'create', 'orders', '--from', 'new.csv'];
    expect(await runCommand(ana, ...create, '--group', 'nobody')).toBe(1);
    expect(ana.err).toContain('its groups are: commissions');
    const again = [...create, '--group', 'commissions', '--note', 'again'];
    expect(await runCommand(ana, ...again)).toBe(1);
    expect(ana.err).toContain('has a table already, at version 1');
  });
});

describe('table status and log', () => {
  it('lists hosts that do not answer', async () => {
    hosts.unreachable.add('lima-b-1');
    expect(await runCommand(ana, 'table', 'status')).toBe(1);
    expect(ana.out).toContain('Missing: lima-b-1');
    expect(ana.out).toContain('no answer: 127.0.2.1:3 is unreachable');
  });

  it('gets the host list from an entry host during a platform outage', async () => {
    platform.remainingReadFailures = Infinity;
    expect(await runCommand(ana, 'table', 'status')).toBe(3);
    expect(
      await runCommand(ana, 'table', 'status', '--host', '127.0.1.1:3'),
    ).toBe(0);
    expect(ana.out).toContain('in force on 2 of 2 live hosts');
    expect(ana.out).toContain('The platform did not answer');
  });

  it('shows the history with notes as text and as JSON', async () => {
    expect(await runCommand(ana, 'table', 'log', 'orders')).toBe(0);
    expect(ana.out).toContain('by ana: created');
    expect(await runCommand(ana, 'table', 'log', 'orders', '--json')).toBe(0);
    expect(JSON.parse(ana.out)).toMatchObject([{version: 1, editedBy: 'ana'}]);
  });
});

describe('command line', () => {
  it('refuses unknown options, commands and arguments, and prints help', async () => {
    expect(await runCommand(ana, 'table', 'status', '--wat')).toBe(2);
    expect(await runCommand(ana, 'table', 'nothing')).toBe(2);
    expect(await runCommand(ana, 'table', 'get')).toBe(2);
    expect(await runCommand(ana, 'hosts', '--host', 'lima-a-1')).toBe(2);
    expect(await runCommand(ana, 'table', 'apply', '--help')).toBe(0);
    expect(ana.out).toContain('Exit codes');
  });

  it('does not ask a second host when the answer to a failover was lost', async () => {
    expect(await runCommand(ana, 'failover', 'commissions')).toBe(3);
    expect(hosts.posts).toEqual([{group: 'commissions', to: null}]);
    expect(ana.err).toContain('not known whether the primary');
  });
});
