import {describe, expect, it} from 'vitest';
import {FALLBACK_ROW} from '@lacewingroad/core';
import {
  createFakeSite,
  formatInsert,
  formatSelect,
  readErrno,
} from '@lacewingroad/fakes';
import type {
  CallerAnswer,
  FakeSite,
  HostObserver,
  SiteGroup,
} from '@lacewingroad/fakes';

/** Longer than any change of primary takes, in milliseconds. */
const CHANGE_MS = 14_000;
/** Time until every endpoint has a registered owner, in milliseconds. */
const REGISTERED_MS = 8_000;

function createSite(
  lagMs: number,
  onAction: HostObserver['onAction'] = () => undefined,
  group: SiteGroup = {id: 'g', endpoints: ['a', 'b', 'c']},
): FakeSite {
  const site = createFakeSite({
    seed: 1,
    dataCentres: ['a', 'b', 'c'],
    entriesPerDataCentre: 2,
    groups: [group],
    tables: [{service: 's', group: group.id, rows: [FALLBACK_ROW]}],
    endpoints: {lagMs},
    observer: {onAction},
  });
  site.runFor(5_000);
  return site;
}

describe('regressions found by fuzzing', () => {
  it.each([
    ['a read', formatSelect('t', 'p')],
    ['a write', formatInsert('p.2')],
    ['BEGIN', 'BEGIN'],
  ])(
    'reports a lost write to its session when %s waits for the new primary',
    (_name, sql) => {
      const site = createSite(60_000);
      const caller = site.openCaller('b-1', {service: 's'});
      const answers: CallerAnswer[] = [];
      caller.send(formatInsert('p.1'), answer => answers.push(answer));
      site.runFor(100);
      site.endpoints.get('g-1')!.kill();
      caller.send(sql, answer => answers.push(answer));
      site.runFor(CHANGE_MS);
      expect(answers.map(readErrno)).toEqual([null, 9103]);
    },
  );

  it('abandons a planned change while a registration is unresolved', () => {
    const site = createSite(0);
    site.runFor(REGISTERED_MS);
    site.platform.faults.mode = 'hang';
    const {owners} = site.readGroup('g');
    site.killHost(owners['g-2']!);
    site.runFor(300);
    const writer = site.hosts.get(owners['g-1']!)!;
    writer.push({type: 'operator_failover', ask: 1, group: 'g', to: 'g-2'});
    site.runFor(8_000);
    site.restartHost(owners['g-2']!);
    site.platform.faults.mode = 'up';
    site.runFor(CHANGE_MS);
    const answers: CallerAnswer[] = [];
    const caller = site.openCaller('c-1', {service: 's'});
    caller.send(formatInsert('p.1'), answer => answers.push(answer));
    site.runFor(CHANGE_MS);
    expect(answers.map(readErrno)).toEqual([null]);
  });

  it('sends few commands to a replica whose primary is down', () => {
    let commands = 0;
    const site = createSite(0, (_host, action) => {
      commands += action.type === 'command_endpoint' ? 1 : 0;
    });
    const old = site.endpoints.get('g-1')!;
    old.kill();
    site.runFor(CHANGE_MS);
    const {primary} = site.readGroup('g');
    site.endpoints.get(primary)!.freeze();
    old.restart();
    commands = 0;
    site.runFor(1_000);
    expect(commands).toBeLessThan(15);
  });

  it('a restarted host acknowledges no write while an update of its previous process is in flight', () => {
    const acknowledged: number[] = [];
    const site = createSite(0);
    site.runFor(REGISTERED_MS);
    const {owners} = site.readGroup('g');
    const host = owners['g-1']!;
    const other = site.hostIds.find(id => id[0] === 'a' && id !== host)!;
    site.hosts.get(other)!.process.pause();
    Object.assign(site.platform.faults, {lateUpdates: 1, lateMs: 2_000});
    const writer = site.hosts.get(host)!;
    writer.push({type: 'operator_failover', ask: 1, group: 'g', to: 'g-2'});
    site.runFor(400);
    site.restartHost(host);
    for (let count = 0; count < 50; count++) {
      const caller = site.openCaller(host, {service: 's'});
      caller.send(formatInsert(`p.${count}`), ({reply}) => {
        if (reply?.type === 'result') {
          acknowledged.push(site.readGroup('g').term);
        }
      });
      site.runFor(100);
    }
    expect(site.readGroup('g').term).toBe(2);
    const before = acknowledged.filter(term => term === 1);
    expect(before).toHaveLength(0);
  });

  // With these group ids, the replica's owner comes from a third data centre.
  it.each(['j', 'k', 'l'])(
    'a restarted host resumes owning an endpoint of another data centre (group %s)',
    id => {
      const site = createSite(0, undefined, {id, endpoints: ['b', 'c']});
      site.runFor(REGISTERED_MS);
      site.killHost('c-1');
      site.killHost('c-2');
      site.runFor(5_000);
      site.restartHost('c-1');
      site.restartHost('c-2');
      site.runFor(1_000);
      const {owners} = site.readGroup(id);
      expect(owners[`${id}-2`]).toMatch(/^a/);
      site.restartHost(owners[`${id}-2`]!);
      site.endpoints.get(`${id}-1`)!.kill();
      site.runFor(100);
      site.killHost(owners[`${id}-1`]!);
      site.runFor(1_500);
      site.endpoints.get(`${id}-1`)!.restart();
      site.restartHost(owners[`${id}-1`]!);
      site.runFor(CHANGE_MS);
      expect(site.readGroup(id).fence).toBeNull();
    },
  );

  it('a host that became owner of the primary within the term raises no fence', () => {
    const group = {id: 'g', endpoints: ['a', 'b']};
    const site = createSite(0, undefined, group);
    site.runFor(REGISTERED_MS);
    const {owners} = site.readGroup('g');
    const inside = [...Object.values(owners), ...Object.keys(owners)];
    const outside = site.hostIds.filter(id => !inside.includes(id));
    for (const one of inside) {
      for (const other of [...outside, 'platform']) {
        site.network.setPath(one, other, 'cut');
        site.network.setPath(other, one, 'cut');
      }
    }
    site.runFor(CHANGE_MS);
    const {term, fence, owners: now} = site.readGroup('g');
    expect(now['g-1']).not.toBe(owners['g-1']);
    // The first write owner continues with promises of hosts that may promote.
    expect({term, fence}).toEqual({term: 1, fence: null});
    const answers: CallerAnswer[] = [];
    const caller = site.openCaller(owners['g-1']!, {service: 's'});
    caller.send(formatInsert('p.1'), answer => answers.push(answer));
    site.runFor(100);
    expect(answers.map(readErrno)).toEqual([null]);
  });

  it('a host that starts before it is listed counts as reachable on other hosts', () => {
    const site = createSite(0);
    site.platform.faults.hostListLagMs = 1_000;
    site.killHost('b-1');
    site.runFor(3_000);
    site.restartHost('b-1');
    site.runFor(REGISTERED_MS);
    for (const host of ['a-1', 'a-2', 'c-1', 'c-2']) {
      const {membership} = site.hosts.get(host)!.engine.getBoard();
      const until = membership.unreachableUntil.get('b-1') ?? 0;
      expect(until).toBeLessThan(site.runtime.now());
    }
  });
});
