import {describe, expect, it} from 'vitest';
import {createVirtualRuntime} from '@lacewingroad/runtime';
import {createHlc, MAX_STAMP_LEAD_MS} from '@lacewingroad/telemetry';

/** Returns the stamp of a wall clock reading with counter 0. */
function stampAt(wallMs: number): string {
  return `${String(Math.floor(wallMs)).padStart(13, '0')}.000000`;
}

describe('createHlc', () => {
  it('returns increasing stamps of equal width while the wall clock does not advance', () => {
    const hlc = createHlc(createVirtualRuntime(1));
    const stamps = Array.from({length: 2_000}, () => hlc.tick());
    expect(stamps.toSorted()).toEqual(stamps);
    expect(new Set(stamps).size).toBe(stamps.length);
    expect(new Set(stamps.map(stamp => stamp.length)).size).toBe(1);
  });

  it('orders an effect after its cause on a host whose clock is ahead', () => {
    const ahead = createVirtualRuntime(1);
    ahead.runUntil(5_000);
    const sender = createHlc(ahead);
    const receiver = createHlc(createVirtualRuntime(2));
    const cause = sender.tick();
    receiver.receive(cause);
    expect(receiver.tick() > cause).toBe(true);
  });

  it('never goes back when an older stamp is received', () => {
    const runtime = createVirtualRuntime(1);
    const hlc = createHlc(runtime);
    runtime.runUntil(1_000);
    const before = hlc.tick();
    hlc.receive(stampAt(0));
    expect(hlc.tick() > before).toBe(true);
  });

  it('ignores stamps that are malformed or too far ahead', () => {
    const runtime = createVirtualRuntime(1);
    const hlc = createHlc(runtime);
    const tooFar = stampAt(runtime.wallNow() + MAX_STAMP_LEAD_MS + 1_000);
    hlc.receive('tomorrow');
    hlc.receive(tooFar);
    expect(hlc.tick() < tooFar).toBe(true);
  });
});
