import {describe, expect, it} from 'vitest';
import type {Settings} from '@lacewingroad/settings';
import {planReload} from '../../reload.js';

const IN_FORCE: Settings = {
  host: 'a-1',
  dataCentre: 'a',
  address: '127.0.0.1',
  listen: {caller: 1, peer: 2, operator: 3},
  platform: {url: 'http://127.0.0.1:9'},
  endpoints: {user: 'proxy', password: ''},
  users: [],
  seeds: [],
  log: {level: 'info', linesPerSecond: 100},
  drainSeconds: 30,
};

describe('planReload', () => {
  it('applies reloadable settings and keeps the others', () => {
    const next: Settings = {
      ...IN_FORCE,
      platform: {url: 'http://127.0.0.1:10'},
      log: {level: 'debug', linesPerSecond: 5},
      drainSeconds: 7,
    };
    const {settings, applied, needRestart} = planReload(IN_FORCE, next);
    expect(applied).toEqual(['log', 'drainSeconds']);
    expect(needRestart).toEqual(['platform']);
    expect(settings).toEqual({...next, platform: IN_FORCE.platform});
  });

  it('names settings that need a restart at each reload until the restart', () => {
    const next = {...IN_FORCE, address: '127.0.0.2'};
    const once = planReload(IN_FORCE, next);
    expect(planReload(once.settings, next).needRestart).toEqual(['address']);
  });

  it('finds no change in an unchanged file', () => {
    const {applied, needRestart} = planReload(IN_FORCE, {...IN_FORCE});
    expect([...applied, ...needRestart]).toEqual([]);
  });
});
