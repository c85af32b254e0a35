import {describe, expect, it} from 'vitest';
import {loadSettings, parseSettings} from '@lacewingroad/settings';

const SHA1 = 'a'.repeat(40);
const VALID = `
host: a-1
data_centre: a
address: 127.0.1.11
listen: {caller: 3306, peer: 7000, operator: 8000}
platform: {url: 'http://127.0.0.2:8500'}
endpoints: {user: proxy, password: secret}
users:
  - {name: app, password_sha1: '${SHA1}', services: ['*']}
`;

describe('parseSettings', () => {
  it('reads a valid file and fills in defaults', () => {
    const settings = parseSettings(VALID).unwrap();
    expect(settings.dataCentre).toBe('a');
    expect(settings.users[0]?.passwordSha1).toBe(SHA1);
    expect(settings.log.level).toBe('info');
    expect(settings.drainSeconds).toBe(30);
  });

  it('reports all faults at once with path, found value and remedy', () => {
    const result = parseSettings(`
host: 'not a name'
data_centre: a
address: example
listen: {caller: 7000, peer: 7000}
platform: {url: 'http://platform:80'}
endpoints: {user: proxy, password: 5}
users:
  - {name: app, password_sha1: short, services: []}
  - {name: app, password_sha1: '${SHA1}', services: ['*'], admin: true}
log: {level: loud}
drain_second: 5
`);
    expect(result.err).toBe(true);
    const error = result.val as unknown as {
      message: string;
      faults: {path: string; found: string; remedy: string}[];
    };
    expect(error.faults.map(fault => fault.path).sort()).toEqual([
      'address',
      'drain_second',
      'endpoints.password',
      'host',
      'listen.operator',
      'listen.peer',
      'log.level',
      'platform.url',
      'users[0].password_sha1',
      'users[0].services',
      'users[1].admin',
      'users[1].name',
    ]);
    expect(error.faults.every(({remedy}) => remedy !== '')).toBe(true);
    expect(error.message).toContain(
      'drain_second: found an unknown key; allowed: ',
    );
    expect(JSON.stringify(error)).not.toContain('short');
    expect(error.faults.find(f => f.path === 'log.level')?.found).toBe(
      '"loud"',
    );
  });

  it('reads seed hosts and rejects host names in their addresses', () => {
    const withSeed = (peer: string) =>
      `${VALID}seeds: [{host: a-2, data_centre: a, peer: '${peer}'}]\n`;
    expect(parseSettings(VALID).unwrap().seeds).toEqual([]);
    expect(parseSettings(withSeed('127.0.1.12:7000')).unwrap().seeds).toEqual([
      {host: 'a-2', dataCentre: 'a', peerAddress: '127.0.1.12:7000'},
    ]);
    for (const peer of ['a-2:7000', '127.0.1.12', '127.0.1.12:7000/']) {
      expect(parseSettings(withSeed(peer)).val).toMatchObject({
        faults: [{path: 'seeds[0].peer'}],
      });
    }
  });

  it('rejects a file that is not YAML and a file with a duplicate key', () => {
    expect(parseSettings('host: [').val).toMatchObject({kind: 'not_yaml'});
    expect(parseSettings('host: a\nhost: b\n').val).toMatchObject({
      kind: 'not_yaml',
    });
  });

  it('rejects an empty file', () => {
    expect(parseSettings('').val).toMatchObject({kind: 'invalid'});
  });
});

describe('loadSettings', () => {
  it('reports a file that cannot be read', () => {
    const result = loadSettings('no/such/settings.yaml');
    expect(result.val).toMatchObject({kind: 'unreadable'});
  });
});
