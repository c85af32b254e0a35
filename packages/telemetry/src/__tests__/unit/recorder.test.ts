import {describe, expect, it} from 'vitest';
import {createVirtualRuntime} from '@lacewingroad/runtime';
import {
  createHlc,
  createRecorder,
  formatEventLine,
  parseEventLine,
} from '@lacewingroad/telemetry';
import type {EventLevel, TimelineEvent} from '@lacewingroad/telemetry';

/** The monotonic clock of the recorders. */
const clock = {now: 0};

/** Creates a recorder that keeps its lines. */
function createKeeping(ringCapacity = 10, linesPerSecond = 0) {
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

/** Records an event that tells of a request. */
function recordStep(
  recorder: ReturnType<typeof createKeeping>['recorder'],
  level: EventLevel,
  event: string,
  request: string,
): void {
  recorder.record({type: 'record', level, event, fields: {request}});
}

describe('the story of a request', () => {
  it('is written whole once it fails, earlier events first', () => {
    const {recorder, lines} = createKeeping();
    recordStep(recorder, 'debug', 'request_sent', 'r1');
    recordStep(recorder, 'debug', 'request_sent', 'r2');
    recordStep(recorder, 'debug', 'request_waits', 'r1');
    recordStep(recorder, 'warn', 'request_failed', 'r1');
    const events = lines.map(line => parseEventLine(line.trim())!);
    expect(events.map(({event, fields}) => [event, fields['request']])).toEqual(
      [
        ['request_sent', 'r1'],
        ['request_waits', 'r1'],
        ['request_failed', 'r1'],
      ],
    );
  });

  it('is forgotten once it ends well', () => {
    const {recorder, lines} = createKeeping();
    recordStep(recorder, 'debug', 'request_sent', 'r1');
    recordStep(recorder, 'debug', 'request_done', 'r1');
    recordStep(recorder, 'warn', 'request_failed', 'r1');
    expect(lines).toHaveLength(1);
  });

  it('keeps its beginning and its end where it is long', () => {
    const {recorder, lines} = createKeeping(100);
    for (let step = 0; step < 100; step++) {
      recordStep(recorder, 'debug', `step_${step}`, 'r1');
    }
    recordStep(recorder, 'warn', 'request_failed', 'r1');
    expect(lines.length).toBeLessThan(30);
    expect(lines[0]).toContain('event=step_0 ');
    expect(lines.at(-2)).toContain('event=step_99 ');
  });
});

describe('the volume of the log', () => {
  const LIMIT = 5;

  it('is bounded for each kind of event, and what is left out is counted', async () => {
    const {recorder, lines} = createKeeping(1_000, LIMIT);
    for (let count = 0; count < 100; count++) {
      recordStep(recorder, 'info', 'request_refused', `r${count}`);
    }
    recordStep(recorder, 'warn', 'request_unknown', 'x1');
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

  it('is bounded anew each second, whatever the wall clock does', () => {
    const {recorder, lines} = createKeeping(1_000, 1);
    recordStep(recorder, 'info', 'request_refused', 'r1');
    recordStep(recorder, 'info', 'request_refused', 'r2');
    clock.now += 1_000;
    recordStep(recorder, 'info', 'request_refused', 'r3');
    expect(lines.map(line => parseEventLine(line.trim())?.event)).toEqual([
      'request_refused',
      'lines_suppressed',
      'request_refused',
    ]);
  });

  it('does not count what a suppressed failure leaves behind twice', () => {
    const {recorder, lines} = createKeeping(1_000, 1);
    recordStep(recorder, 'info', 'request_refused', 'r1');
    recordStep(recorder, 'debug', 'request_sent', 'r2');
    recordStep(recorder, 'info', 'request_refused', 'r2');
    recordStep(recorder, 'info', 'request_refused', 'r2');
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
