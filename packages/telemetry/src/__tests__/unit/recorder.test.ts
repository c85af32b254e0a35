import {describe, expect, it} from 'vitest';
import {createVirtualRuntime} from '@lacewingroad/runtime';
import {
  createHlc,
  createRecorder,
  formatEventLine,
  parseEventLine,
} from '@lacewingroad/telemetry';
import type {TimelineEvent} from '@lacewingroad/telemetry';

/** Creates a recorder that keeps its lines. */
function createKeeping(ringCapacity = 10) {
  const lines: string[] = [];
  const recorder = createRecorder({
    host: 'a-1',
    hlc: createHlc(createVirtualRuntime(1)),
    level: 'info',
    destination: {
      write: line => {
        lines.push(line);
      },
      flushSync: () => undefined,
    },
    ringCapacity,
  });
  return {recorder, lines};
}

describe('createRecorder', () => {
  it('writes one line of pairs for an event and quotes where needed', () => {
    const {recorder, lines} = createKeeping();
    const fields = {group: 'g-1', note: 'two "words"\nand a=b', term: 3};
    recorder.record({type: 'record', level: 'info', event: 'fenced', fields});
    expect(lines).toHaveLength(1);
    expect(lines[0]).toMatch(
      /^stamp=\d{13}\.\d{6} level=info host=a-1 seq=1 event=fenced group=g-1 note="two \\"words\\"\\nand a=b" term=3\n$/,
    );
  });

  it('keeps a bounded ring, oldest first', () => {
    const {recorder} = createKeeping(3);
    for (let index = 1; index <= 5; index++) {
      const event = `e${index}`;
      recorder.record({type: 'record', level: 'info', event, fields: {}});
    }
    const names = (after: number) =>
      recorder.readEvents(after).map(event => event.event);
    expect(names(0)).toEqual(['e3', 'e4', 'e5']);
    expect(names(4)).toEqual(['e5']);
  });

  it('counts events below the level without keeping them', async () => {
    const {recorder, lines} = createKeeping();
    const fields = {
      service: 'shop',
      kind: 'payment',
      rank: 'urgent',
      outcome: 'done',
      latency_ms: 12,
      is_in_time: true,
      endpoint_role: 'primary',
    };
    recorder.record({
      type: 'record',
      level: 'debug',
      event: 'request_done',
      fields,
    });
    expect(lines).toEqual([]);
    expect(recorder.readEvents(0)).toEqual([]);
    const text = await recorder.metrics.readText();
    expect(text).toContain('lacewingroad_events_total{event="request_done"} 1');
    expect(text).toContain(
      'lacewingroad_requests_total{service="shop",kind="payment",rank="urgent",outcome="done"} 1',
    );
    expect(text).toContain(
      'lacewingroad_requests_by_role_total{service="shop",access="read",endpoint_role="primary"} 1',
    );
    expect(text).toContain('lacewingroad_request_latency_seconds_count');
    expect(text).toContain(
      'lacewingroad_requests_in_target_total{service="shop",kind="payment",rank="urgent"} 1',
    );
  });

  it('bounds the labels that callers choose', async () => {
    const {recorder} = createKeeping();
    for (let index = 0; index < 1_000; index++) {
      recorder.record({
        type: 'record',
        level: 'debug',
        event: 'request_done',
        fields: {service: 'shop', kind: `k${index}`, rank: 'urgent'},
      });
    }
    const text = await recorder.metrics.readText();
    const series = text.match(/^lacewingroad_requests_total\{/gm) ?? [];
    expect(series.length).toBeLessThanOrEqual(201);
  });

  it('keeps the metrics of two recorders apart', async () => {
    const first = createKeeping();
    const second = createKeeping();
    first.recorder.record({
      type: 'record',
      level: 'info',
      event: 'only_here',
      fields: {},
    });
    expect(await second.recorder.metrics.readText()).not.toContain('only_here');
  });
});

describe('parseEventLine', () => {
  it('reads what formatEventLine writes', () => {
    const event: TimelineEvent = {
      seq: 7,
      stamp: '1700000000000.000003',
      host: 'lima-a-1',
      level: 'warn',
      event: 'primary_changed',
      fields: {a: 'true', b: true, c: null, d: '12', e: 1.5, f: '', g: 'x y'},
    };
    expect(parseEventLine(formatEventLine(event))).toEqual(event);
  });

  it('returns null for other lines', () => {
    expect(parseEventLine('Error: something else')).toBeNull();
    expect(parseEventLine('')).toBeNull();
  });
});
