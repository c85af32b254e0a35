import {describe, expect, it} from 'vitest';
import type {ConnFault} from '../../../engine/event.js';
import {ControlStory, createGroup} from './control_story.js';

const SETTLED_MS = 3_000;
const SPAN_MS = 10_000;
const OWNERS = {a: 'a-1', b: 'a-1', c: 'c-1'};

/** A host that owns the primary `a` and the replica `b`, at rest. */
function createOwner(): ControlStory {
  const story = new ControlStory('a-1', {
    group: createGroup({owners: OWNERS}),
  });
  story.advance(SETTLED_MS);
  return story;
}

function countProbes(story: ControlStory, endpoint: string): number {
  return story.actions.filter(
    action => action.type === 'probe' && action.endpoint === endpoint,
  ).length;
}

/** Counts the probes of an endpoint during a span. */
function countDuring(
  story: ControlStory,
  endpoint: string,
  spanMs: number,
): number {
  const before = countProbes(story, endpoint);
  story.advance(spanMs);
  return countProbes(story, endpoint) - before;
}

function closeConn(story: ControlStory, fault: ConnFault): void {
  story.feed({
    type: 'conn_closed',
    endpoint: 'a',
    conn: 1,
    fault,
    wasOpen: true,
  });
}

describe('probes of own endpoints', () => {
  it('come each quarter of a second for a primary that answers', () => {
    expect(countDuring(createOwner(), 'a', SPAN_MS)).toBe(40);
  });

  it('come each second for a replica that follows', () => {
    expect(countDuring(createOwner(), 'b', SPAN_MS)).toBe(10);
  });

  it('come each quarter of a second for a replica that lags', () => {
    const story = createOwner();
    story.dataAgeMs = 600;
    story.advance(1_000);
    expect(countDuring(story, 'b', SPAN_MS)).toBe(40);
  });

  it('come each quarter of a second for a replica that fails', () => {
    const story = createOwner();
    story.indexes.delete('b');
    story.advance(1_000);
    expect(countDuring(story, 'b', SPAN_MS)).toBe(40);
  });

  it('come each quarter of a second for a replica of an older term', () => {
    const story = createOwner();
    story.endpointTerm = 0;
    story.advance(1_000);
    expect(countDuring(story, 'b', SPAN_MS)).toBe(40);
  });

  it('come at once when the endpoint resets a connection', () => {
    const story = createOwner();
    const before = countProbes(story, 'a');
    closeConn(story, 'reset');
    expect(countProbes(story, 'a')).toBe(before + 1);
  });

  it('do not come at once while the endpoint is full', () => {
    const story = createOwner();
    const before = countProbes(story, 'a');
    closeConn(story, 'too_many');
    expect(countProbes(story, 'a')).toBe(before);
  });

  it('come by timer only once the endpoint fails', () => {
    const story = createOwner();
    story.indexes.delete('a');
    closeConn(story, 'reset');
    const before = countProbes(story, 'a');
    closeConn(story, 'refused');
    expect(countProbes(story, 'a')).toBe(before);
    expect(story.board.endpoints.views.get('a')?.refusals).toBe(1);
  });
});
