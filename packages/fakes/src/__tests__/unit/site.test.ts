import {describe, expect, it} from 'vitest';
import {FALLBACK_ROW} from '@lacewingroad/core';
import {
  createFakeSite,
  formatInsert,
  formatSelect,
  readAnswerRows,
  readErrno,
} from '@lacewingroad/fakes';
import type {CallerAnswer, FakeSite} from '@lacewingroad/fakes';

const SETTLE_MS = 5_000;
/** Upper limit for a change of primary, in milliseconds. */
const CHANGE_MS = 12_000;

function createSite(seed = 1): FakeSite {
  const site = createFakeSite({
    seed,
    dataCentres: ['a', 'b', 'c'],
    entriesPerDataCentre: 3,
    groups: [{id: 'g', endpoints: ['a', 'b', 'c']}],
    tables: [{service: 's', group: 'g', rows: [FALLBACK_ROW]}],
  });
  site.runFor(SETTLE_MS);
  return site;
}

function sendAndAwait(site: FakeSite, host: string, sql: string): CallerAnswer {
  const answers: CallerAnswer[] = [];
  const caller = site.openCaller(host, {service: 's', session: 'p'});
  caller.send(sql, answer => answers.push(answer));
  site.runFor(16_000);
  caller.close();
  expect(answers).toHaveLength(1);
  return answers[0]!;
}

describe('simulated site', () => {
  it('writes once per request key and reads from another host', () => {
    const site = createSite();
    const insert = formatInsert('p.1', "/*key='k'*/ ");
    expect(sendAndAwait(site, 'a-1', insert).reply?.type).toBe('result');
    expect(sendAndAwait(site, 'b-2', insert).reply?.type).toBe('result');
    const read = sendAndAwait(site, 'c-3', formatSelect('t', 'p'));
    expect(readAnswerRows(read)).toEqual([['t', 'p.1']]);
  });

  it('changes the primary when its process is killed', () => {
    const site = createSite();
    sendAndAwait(site, 'a-1', formatInsert('p.1'));
    site.endpoints.get('g-1')!.kill();
    site.runFor(CHANGE_MS);
    expect(site.readGroup('g').term).toBe(2);
    expect(sendAndAwait(site, 'a-1', formatInsert('p.2')).reply?.type).toBe(
      'result',
    );
    const read = sendAndAwait(site, 'b-1', formatSelect('t', 'p'));
    expect(readAnswerRows(read)).toEqual([['t', 'p.1,p.2']]);
  });

  it('moves work away from killed hosts and uses them again after a restart', () => {
    const site = createSite();
    site.hostIds.filter(id => id.endsWith('1')).forEach(site.killHost);
    site.runFor(CHANGE_MS);
    expect(sendAndAwait(site, 'b-2', formatInsert('p.1')).reply?.type).toBe(
      'result',
    );
    site.restartHost('a-1');
    site.runFor(SETTLE_MS);
    expect(sendAndAwait(site, 'a-1', formatInsert('p.2')).reply?.type).toBe(
      'result',
    );
  });

  it('stops writes in an isolated data centre and continues in the others', () => {
    const site = createSite();
    for (const other of ['b', 'c', 'platform']) {
      site.network.setPath('a', other, 'silent');
      site.network.setPath(other, 'a', 'silent');
    }
    site.runFor(CHANGE_MS);
    expect(sendAndAwait(site, 'b-1', formatInsert('p.1')).reply?.type).toBe(
      'result',
    );
    expect(readErrno(sendAndAwait(site, 'a-1', formatInsert('p.2')))).toBe(
      9101,
    );
    site.network.heal();
    site.runFor(SETTLE_MS);
    expect(sendAndAwait(site, 'a-1', formatInsert('p.3')).reply?.type).toBe(
      'result',
    );
  });

  it('holds events and timers of a paused host until it resumes', () => {
    const site = createSite();
    const host = site.hosts.get('a-1')!;
    host.process.pause();
    const caller = site.openCaller('a-1', {service: 's'});
    const answers: CallerAnswer[] = [];
    caller.send('SELECT @@version', answer => answers.push(answer));
    site.runFor(SETTLE_MS);
    expect(answers).toHaveLength(0);
    host.process.resume();
    site.runFor(0);
    expect(answers).toHaveLength(1);
  });

  it('gives equal runs for equal seeds', () => {
    const run = (): readonly number[] => {
      const site = createSite(7);
      sendAndAwait(site, 'a-1', formatInsert('p.1'));
      return [site.platform.revision(), site.platform.calls.reads];
    };
    expect(run()).toEqual(run());
  });
});
