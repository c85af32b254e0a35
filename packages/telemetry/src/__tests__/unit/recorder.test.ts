import {describe, expect, it} from 'vitest';
import {createVirtualRuntime} from '@lacewingroad/runtime';
import {
  createHlc,
  createRecorder,
  formatEventLine,
  parseEventLine,
} from '@lacewingroad/telemetry';
import type {EventLevel, TimelineEvent} from '@lacewingroad/telemetry';

/** The monotonic clock of all recorders in this file. */
const clock = {now: 0};

/** Creates a recorder whose log lines are collected. */
function createTestRecorder(ringCapacity = 10, linesPerSecond = 0) {
  const lines: string[] = [];
  const runtime = createVirtualRuntime(1);
  const recorder = createRecorder({
    host: 'a-1',
    hlc: createHlc(runtime),
    now: () => clock.now,
    level: 'info',
    destination: {
      write: line => {
        lines.push(line);
      },
      flush: () => Promise.resolve(),
    },
    ringCapacity,
    linesPerSecond,
  });
  return {recorder, lines};
}

describe('createRecorder', () => {
  it('writes one line of key=value pairs for an event and quotes where needed', () => {
    const {recorder, lines} = createTestRecorder();
    const fields = {group: 'g-1', note: 'two "words"\nand a=b', term: 3};
    recorder.record({type: 'record', level: 'info', event: 'fenced', fields});
    expect(lines).toHaveLength(1);
    expect(lines[0]).toMatch(
      /^stamp=\d{13}\.\d{6} level=info host=a-1 seq=1 event=fenced group=g-1 note="two \\"words\\"\\nand a=b" term=3\n$/,
    );
  });

  it('keeps a bounded number of events, oldest first', () => {
    const {recorder} = createTestRecorder(3);
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
    const {recorder, lines} = createTestRecorder();
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

  it('bounds the label values that callers choose', async () => {
    const {recorder} = createTestRecorder();
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

  it('separates the metrics of two recorders', async () => {
    const first = createTestRecorder();
    const second = createTestRecorder();
    first.recorder.record({
      type: 'record',
      level: 'info',
      event: 'only_here',
      fields: {},
    });
    expect(await second.recorder.metrics.readText()).not.toContain('only_here');
  });
});

/** Records an event that belongs to a request. */
function recordRequestEvent(
  recorder: ReturnType<typeof createTestRecorder>['recorder'],
  level: EventLevel,
  event: string,
  request: string,
): void {
  recorder.record({type: 'record', level, event, fields: {request}});
}

describe('the buffered events of a request', () => {
  it('are written when it fails, earlier events first', () => {
    const {recorder, lines} = createTestRecorder();
    recordRequestEvent(recorder, 'debug', 'request_sent', 'r1');
    recordRequestEvent(recorder, 'debug', 'request_sent', 'r2');
    recordRequestEvent(recorder, 'debug', 'request_waits', 'r1');
    recordRequestEvent(recorder, 'warn', 'request_failed', 'r1');
    const events = lines.map(line => parseEventLine(line.trim())!);
    expect(events.map(({event, fields}) => [event, fields['request']])).toEqual(
      [
        ['request_sent', 'r1'],
        ['request_waits', 'r1'],
        ['request_failed', 'r1'],
      ],
    );
  });

  it('are discarded when it succeeds', () => {
    const {recorder, lines} = createTestRecorder();
    recordRequestEvent(recorder, 'debug', 'request_sent', 'r1');
    recordRequestEvent(recorder, 'debug', 'request_done', 'r1');
    recordRequestEvent(recorder, 'warn', 'request_failed', 'r1');
    expect(lines).toHaveLength(1);
  });

  it('include the first and the last ones of a long request', () => {
    const {recorder, lines} = createTestRecorder(100);
    for (let step = 0; step < 100; step++) {
      recordRequestEvent(recorder, 'debug', `step_${step}`, 'r1');
    }
    recordRequestEvent(recorder, 'warn', 'request_failed', 'r1');
    expect(lines.length).toBeLessThan(30);
    expect(lines[0]).toContain('event=step_0 ');
    expect(lines.at(-2)).toContain('event=step_99 ');
  });
});

describe('the volume of the log', () => {
  const LIMIT = 5;

  it('is bounded for each kind of event, and suppressed lines are counted', async () => {
    const {recorder, lines} = createTestRecorder(1_000, LIMIT);
    for (let count = 0; count < 100; count++) {
      recordRequestEvent(recorder, 'info', 'request_refused', `r${count}`);
    }
    recordRequestEvent(recorder, 'warn', 'request_unknown', 'x1');
    expect(lines).toHaveLength(LIMIT + 1);
    expect(lines.at(-1)).toContain('request=x1');
    recorder.flush();
    expect(lines.at(-1)).toContain(
      'event=lines_suppressed suppressed=request_refused lines=95',
    );
    const text = await recorder.metrics.readText();
    expect(text).toContain(
      'lacewingroad_log_lines_lost_total{reason="suppressed"} 95',
    );
  });

  it('is bounded in each second of the monotonic clock', () => {
    const {recorder, lines} = createTestRecorder(1_000, 1);
    recordRequestEvent(recorder, 'info', 'request_refused', 'r1');
    recordRequestEvent(recorder, 'info', 'request_refused', 'r2');
    clock.now += 1_000;
    recordRequestEvent(recorder, 'info', 'request_refused', 'r3');
    expect(lines.map(line => parseEventLine(line.trim())?.event)).toEqual([
      'request_refused',
      'lines_suppressed',
      'request_refused',
    ]);
  });

  it('does not count the buffered events of a suppressed failure twice', () => {
    const {recorder, lines} = createTestRecorder(1_000, 1);
    recordRequestEvent(recorder, 'info', 'request_refused', 'r1');
    recordRequestEvent(recorder, 'debug', 'request_sent', 'r2');
    recordRequestEvent(recorder, 'info', 'request_refused', 'r2');
    recordRequestEvent(recorder, 'info', 'request_refused', 'r2');
    expect(lines).toHaveLength(1);
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
