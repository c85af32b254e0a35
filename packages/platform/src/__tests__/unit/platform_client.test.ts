import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {createSystemRuntime} from '@lacewingroad/runtime';
import {PlatformClient} from '@lacewingroad/platform';
import {respondJson, startFakePlatform} from './fake_platform.js';
import type {FakePlatform} from './fake_platform.js';

const runtime = createSystemRuntime();
const TIMEOUT_MS = 10_000;

describe('PlatformClient', () => {
  let fake: FakePlatform;
  let client: PlatformClient;
  const createDeadline = () => runtime.now() + TIMEOUT_MS;

  beforeEach(async () => {
    fake = await startFakePlatform();
    client = new PlatformClient({runtime, url: fake.url});
  });

  afterEach(async () => {
    client.close();
    await fake.close();
  });

  it('reads an object, and null for one that is absent', async () => {
    const object = {key: 'tables/s', version: 2, revision: 8, value: {a: 1}};
    fake.answer = respondJson(200, object);
    expect(
      (await client.getObject('tables/s', createDeadline())).unwrap(),
    ).toEqual(object);
    fake.answer = respondJson(404, {});
    expect(
      (await client.getObject('tables/s', createDeadline())).unwrap(),
    ).toBeNull();
  });

  it('lists objects', async () => {
    fake.answer = respondJson(200, {revision: 8, changes: []});
    const list = await client.listObjects(0, createDeadline());
    expect(list.unwrap()).toEqual({revision: 8, changes: []});
  });

  it('returns the current object after a conflict', async () => {
    const standing = {key: 'k', version: 3, revision: 9, value: {by: 'rosa'}};
    fake.answer = respondJson(409, standing);
    const result = await client.putObject('k', 2, {}, createDeadline());
    expect(result.val).toMatchObject({kind: 'conflict', standing});
  });

  it('distinguishes a refused update from one with an unknown outcome', async () => {
    fake.answer = respondJson(503, {});
    const refused = await client.putObject('k', 2, {}, createDeadline());
    expect(refused.val).toMatchObject({kind: 'refused'});
    fake.answer = (_req, res) => res.destroy();
    const unknown = await client.putObject('k', 2, {}, createDeadline());
    expect(unknown.val).toMatchObject({kind: 'unknown'});
  });

  it('reports an answer that is not part of the protocol', async () => {
    fake.answer = respondJson(418, {});
    const result = await client.listObjects(0, createDeadline());
    expect(result.val).toMatchObject({kind: 'invalid_answer'});
  });
});
