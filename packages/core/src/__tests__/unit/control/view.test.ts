import {describe, expect, it} from 'vitest';
import {ControlStory} from './control_story.js';

function createTable(version: number) {
  return {
    key: 'tables/shop',
    version,
    revision: version + 1,
    value: {service: 'shop', group: 'g', rows: [], editId: `e${version}`},
  };
}

function readVersion(story: ControlStory): number | undefined {
  return story.board.view.tables.get('shop')?.version;
}

describe('the view', () => {
  it('never goes back to an older version, whoever brings it', () => {
    const story = new ControlStory('b-1');
    const bring = (version: number) =>
      story.message('b-2', {
        type: 'changed',
        changes: [createTable(version)],
        forward: false,
      });
    bring(3);
    expect(readVersion(story)).toBe(3);
    bring(2);
    expect(readVersion(story)).toBe(3);
    bring(4);
    expect(readVersion(story)).toBe(4);
  });

  it('does not go back to an object that was deleted', () => {
    const story = new ControlStory('b-1');
    const bring = (change: object) =>
      story.message('b-2', {
        type: 'changed',
        changes: [{...createTable(3), ...change}],
        forward: false,
      });
    bring({});
    bring({version: 4, revision: 5, value: null});
    expect(readVersion(story)).toBeUndefined();
    bring({});
    expect(readVersion(story)).toBeUndefined();
  });
});
