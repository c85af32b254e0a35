import {describe, expect, it} from 'vitest';
import {ControlHarness} from './control_harness.js';

function createTable(version: number) {
  return {
    key: 'tables/shop',
    version,
    revision: version + 1,
    value: {service: 'shop', group: 'g', rows: [], editId: `e${version}`},
  };
}

function readVersion(harness: ControlHarness): number | undefined {
  return harness.board.view.tables.get('shop')?.version;
}

describe('the view', () => {
  it('never goes back to an older version', () => {
    const harness = new ControlHarness('b-1');
    const receiveVersion = (version: number) =>
      harness.message('b-2', {
        type: 'changed',
        changes: [createTable(version)],
        forward: false,
      });
    receiveVersion(3);
    expect(readVersion(harness)).toBe(3);
    receiveVersion(2);
    expect(readVersion(harness)).toBe(3);
    receiveVersion(4);
    expect(readVersion(harness)).toBe(4);
  });

  it('does not restore a deleted object from an older version', () => {
    const harness = new ControlHarness('b-1');
    const sendChange = (change: object) =>
      harness.message('b-2', {
        type: 'changed',
        changes: [{...createTable(3), ...change}],
        forward: false,
      });
    sendChange({});
    sendChange({version: 4, revision: 5, value: null});
    expect(readVersion(harness)).toBeUndefined();
    sendChange({});
    expect(readVersion(harness)).toBeUndefined();
  });
});
