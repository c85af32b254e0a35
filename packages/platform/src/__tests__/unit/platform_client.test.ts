import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {createSystemRuntime} from '@lacewingroad/runtime';
import {PlatformClient} from '@lacewingroad/platform';
import {json, startFakePlatform} from './fake_platform.js';
import type {FakePlatform} from './fake_platform.js';

const runtime = createSystemRuntime();
const LONG_MS = 10_000;

describe('PlatformClient', () => {
  let fake: FakePlatform;
  let client: PlatformClient;
  const later = () => runtime.now() + LONG_MS;

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
    fake.answer = json(200, object);
    expect((await client.getObject('tables/s', later())).unwrap()).toEqual(
      object,
    );
    fake.answer = json(404, {});
    expect((await client.getObject('tables/s', later())).unwrap()).toBeNull();
  });

  it('lists objects', async () => {
    fake.answer = json(200, {revision: 8, changes: []});
    const list = await client.listObjects(0, later());
    expect(list.unwrap()).toEqual({revision: 8, changes: []});
  });

  it('returns what stands after a conflict', async () => {
    const standing = {key: 'k', version: 3, revision: 9, value: {by: 'rosa'}};
    fake.answer = json(409, standing);
    const result = await client.putObject('k', 2, {}, later());
    expect(result.val).toMatchObject({kind: 'conflict', standing});
  });

  it('tells a refused update from one with an unknown outcome', async () => {
    fake.answer = json(503, {});
    const refused = await client.putObject('k', 2, {}, later());
    expect(refused.val).toMatchObject({kind: 'refused'});
    fake.answer = (_req, res) => res.destroy();
    const unknown = await client.putObject('k', 2, {}, later());
    expect(unknown.val).toMatchObject({kind: 'unknown'});
  });

  it('says when the answer is not one of the protocol', async () => {
    fake.answer = json(418, {});
    const result = await client.listObjects(0, later());
    expect(result.val).toMatchObject({kind: 'invalid_answer'});
  });
});
