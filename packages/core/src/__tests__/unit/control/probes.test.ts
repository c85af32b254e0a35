import {describe, expect, it} from 'vitest';
import type {ConnFault} from '../../../engine/event.js';
import {ControlHarness, createGroup} from './control_harness.js';

const SETTLE_MS = 3_000;
const SPAN_MS = 10_000;
const OWNERS = {a: 'a-1', b: 'a-1', c: 'c-1'};

/** Returns a host that owns the primary `a` and the replica `b`. */
function createOwner(): ControlHarness {
  const harness = new ControlHarness('a-1', {
    group: createGroup({owners: OWNERS}),
  });
  harness.advance(SETTLE_MS);
  return harness;
}

function countProbes(harness: ControlHarness, endpoint: string): number {
  return harness.actions.filter(
    action => action.type === 'probe' && action.endpoint === endpoint,
  ).length;
}

/** Counts the probes of an endpoint during the next `spanMs`. */
function countProbesDuring(
  harness: ControlHarness,
  endpoint: string,
  spanMs: number,
): number {
  const before = countProbes(harness, endpoint);
  harness.advance(spanMs);
  return countProbes(harness, endpoint) - before;
}

function closeConn(harness: ControlHarness, fault: ConnFault): void {
  harness.feed({
    type: 'conn_closed',
    endpoint: 'a',
    conn: 1,
    fault,
    wasOpen: true,
  });
}

describe('probes of owned endpoints', () => {
  it('run every quarter of a second for a primary that answers', () => {
    expect(countProbesDuring(createOwner(), 'a', SPAN_MS)).toBe(40);
  });

  it('run every second for a replica that keeps up', () => {
    expect(countProbesDuring(createOwner(), 'b', SPAN_MS)).toBe(10);
  });

  it('run every quarter of a second for a replica that lags', () => {
    const harness = createOwner();
    harness.dataAgeMs = 600;
    harness.advance(1_000);
    expect(countProbesDuring(harness, 'b', SPAN_MS)).toBe(40);
  });

  it('run every quarter of a second for a replica that fails', () => {
    const harness = createOwner();
    harness.indexes.delete('b');
    harness.advance(1_000);
    expect(countProbesDuring(harness, 'b', SPAN_MS)).toBe(40);
  });

  it('run every quarter of a second for a replica of an older term', () => {
    const harness = createOwner();
    harness.endpointTerm = 0;
    harness.advance(1_000);
    expect(countProbesDuring(harness, 'b', SPAN_MS)).toBe(40);
  });

  it('run at once when the endpoint resets a connection', () => {
    const harness = createOwner();
    const before = countProbes(harness, 'a');
    closeConn(harness, 'reset');
    expect(countProbes(harness, 'a')).toBe(before + 1);
  });

  it('do not run at once when the endpoint has too many connections', () => {
    const harness = createOwner();
    const before = countProbes(harness, 'a');
    closeConn(harness, 'too_many');
    expect(countProbes(harness, 'a')).toBe(before);
  });

  it('run by timer only while the endpoint fails', () => {
    const harness = createOwner();
    harness.indexes.delete('a');
    closeConn(harness, 'reset');
    const before = countProbes(harness, 'a');
    closeConn(harness, 'refused');
    expect(countProbes(harness, 'a')).toBe(before);
    expect(harness.board.endpoints.views.get('a')?.refusals).toBe(1);
  });
});
