import {firstValueFrom} from 'rxjs';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import type {Event} from '@lacewingroad/core';
import {createSystemRuntime} from '@lacewingroad/runtime';
import {createPlatformAdapter} from '@lacewingroad/platform';
import {respondJson, startFakePlatform} from './fake_platform.js';
import type {FakeAnswer, FakePlatform} from './fake_platform.js';

const runtime = createSystemRuntime();
const DEFAULT_TIMEOUT_MS = 10_000;

describe('createPlatformAdapter', () => {
  let fake: FakePlatform;
  let adapter: ReturnType<typeof createPlatformAdapter>;

  beforeEach(async () => {
    fake = await startFakePlatform();
    adapter = createPlatformAdapter({
      runtime,
      url: fake.url,
      sourceAddress: '127.0.0.9',
    });
  });

  afterEach(async () => {
    await adapter.close();
    await fake.close();
  });

  /** Updates `groups/g 1` and resolves to the next event. */
  function update(timeoutMs = DEFAULT_TIMEOUT_MS): Promise<Event> {
    const next = firstValueFrom(adapter.events$);
    adapter.performers.update_platform({
      type: 'update_platform',
      key: 'groups/g 1',
      attempt: 'x',
      baseVersion: 4,
      value: {a: 1},
      deadline: runtime.now() + timeoutMs,
    });
    return next;
  }

  /** Reads the changes since revision 3 and resolves to the next event. */
  function read(timeoutMs = DEFAULT_TIMEOUT_MS): Promise<Event> {
    const next = firstValueFrom(adapter.events$);
    const deadline = runtime.now() + timeoutMs;
    adapter.performers.read_platform({
      type: 'read_platform',
      since: 3,
      deadline,
    });
    return next;
  }

  it('reads changes from the configured source address', async () => {
    const changes = [{key: 'k', version: 1, revision: 5, value: null}];
    fake.answer = respondJson(200, {revision: 5, changes});
    const before = runtime.now();
    const event = await read();
    expect(event).toMatchObject({type: 'platform_read', revision: 5, changes});
    expect((event as {sentAt: number}).sentAt).toBeGreaterThanOrEqual(before);
    expect(fake.receivedRequests[0]?.url).toBe('/v1/objects?since=3');
    expect(fake.receivedRequests[0]?.socket.remoteAddress).toBe('127.0.0.9');
  });

  const failedReads: Readonly<Record<string, FakeAnswer>> = {
    'status 503': respondJson(503, {}),
    'an answer of another shape': respondJson(200, {revision: 'five'}),
    'an answer that is not JSON': (_req, res) => res.end('<html>'),
    'a broken connection': (_req, res) => res.destroy(),
  };
  it.each(Object.entries(failedReads))(
    'fails a read after %s',
    async (_name, answer) => {
      fake.answer = answer;
      expect((await read()).type).toBe('platform_read_failed');
    },
  );

  it('fails a read at its deadline when the platform hangs', async () => {
    fake.answer = () => undefined;
    expect((await read(100)).type).toBe('platform_read_failed');
  });

  const standing = {key: 'k', version: 7, revision: 9, value: {}};
  const updates: readonly (readonly [string, FakeAnswer, object])[] = [
    [
      'accepted',
      respondJson(200, {key: 'k', version: 5, revision: 9}),
      {type: 'updated', version: 5, revision: 9},
    ],
    [
      'in conflict with another update',
      respondJson(409, standing),
      {type: 'conflict', version: 7},
    ],
    ['over a rate limit', respondJson(429, {}), {type: 'refused'}],
    ['refused in an outage', respondJson(503, {}), {type: 'refused'}],
    ['answered with a server error', respondJson(500, {}), {type: 'unknown'}],
    ['answered with an invalid body', respondJson(200, []), {type: 'unknown'}],
    ['cut off', (_req, res) => res.destroy(), {type: 'unknown'}],
  ];
  it.each(updates)('maps an update that is %s', async (_name, answer, want) => {
    fake.answer = answer;
    const event = await update();
    expect(event).toEqual({
      type: 'platform_updated',
      key: 'groups/g 1',
      attempt: 'x',
      baseVersion: 4,
      result: want,
    });
    expect(fake.receivedRequests[0]?.url).toBe('/v1/objects/groups/g%201');
    expect(fake.receivedRequests[0]?.headers['if-match']).toBe('4');
  });

  it('reports an update as unknown when its deadline passes without an answer', async () => {
    fake.answer = () => undefined;
    expect(await update(100)).toMatchObject({result: {type: 'unknown'}});
  });

  it('reports an update as unknown when a keep-alive connection breaks', async () => {
    fake.answer = respondJson(200, {revision: 5, changes: []});
    await read();
    fake.answer = (_req, res) => res.destroy();
    expect(await update()).toMatchObject({result: {type: 'unknown'}});
  });

  it('reports an update as refused when the platform is not listening', async () => {
    await fake.close();
    expect(await update()).toMatchObject({result: {type: 'refused'}});
  });

  it('reports an update as refused when its deadline passed before the call', async () => {
    expect(await update(-1)).toMatchObject({result: {type: 'refused'}});
    expect(fake.receivedRequests).toHaveLength(0);
  });
});
