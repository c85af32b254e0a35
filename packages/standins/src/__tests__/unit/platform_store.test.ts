/** Tests the object store and the rate limit of the platform. */

import {describe, expect, it} from 'vitest';
import {createVirtualRuntime} from '@lacewingroad/runtime';
import {createRateLimit} from '../../platform/rate_limit.js';
import {createObjectStore} from '../../platform/store.js';

describe('createObjectStore', () => {
  it('updates an object only at the given version', () => {
    const store = createObjectStore();
    expect(store.update('k', 1, 'a').type).toBe('conflict');
    expect(store.update('k', 0, 'a')).toEqual({
      type: 'updated',
      object: {key: 'k', version: 1, revision: 1, value: 'a'},
    });
    expect(store.update('k', 0, 'b')).toEqual({
      type: 'conflict',
      object: {key: 'k', version: 1, revision: 1, value: 'a'},
    });
    expect(store.update('k', 1, 'b').object.version).toBe(2);
    expect(store.get('k')?.value).toBe('b');
  });

  it('lists changes, including deletions, in order of revision', () => {
    const store = createObjectStore();
    store.update('a', 0, 1);
    store.update('b', 0, 1);
    store.update('a', 1, null);
    expect(store.get('a')).toBeNull();
    const keys = (since: number): readonly string[] =>
      store.changesSince(since).map(change => change.key);
    expect(keys(0)).toEqual(['b']);
    expect(keys(1)).toEqual(['b', 'a']);
    expect(store.changesSince(2)[0]).toMatchObject({version: 2, value: null});
    expect(store.update('a', 0, 2).object.version).toBe(3);
  });
});

describe('createRateLimit', () => {
  it('limits the calls per second', () => {
    const runtime = createVirtualRuntime(1);
    const allow = createRateLimit(2, runtime);
    expect([allow(), allow(), allow()]).toEqual([true, true, false]);
    runtime.runUntil(1_000);
    expect(allow()).toBe(true);
  });
});
