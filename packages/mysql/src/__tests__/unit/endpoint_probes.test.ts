import {afterEach, describe, expect, test} from 'vitest';
import {ADDRESS, column, ok, rows, startFakeCore} from './fake_core.js';
import {
  LONG_DEADLINE_MS,
  SHORT_DEADLINE_MS,
  runtime,
  cleanups,
  startAdapter,
  listenRaw,
  startCallerAdapterServer,
  waitForEvent,
  probe,
  getAdapter,
  getEvents,
  closeAll,
} from './endpoint_harness.js';

afterEach(closeAll);

describe('probes and commands', () => {
  const status = rows(
    ['role', 'term', 'index', 'age', 'follows'].map(name => column(name, 253)),
    [['replica', '3', '17', '250', 'e-2']],
  );

  test('probes reuse one connection and parse the status', async () => {
    let opened = 0;
    const core = await startFakeCore(() => status);
    cleanups.push(core.adapter.close);
    core.adapter.events$.subscribe(event => {
      opened += event.type === 'caller_opened' ? 1 : 0;
    });
    startAdapter();
    probe(core.adapter.port, LONG_DEADLINE_MS);
    expect(await waitForEvent(1)).toMatchObject({
      type: 'probed',
      fault: null,
      status: {
        role: 'replica',
        position: {term: 3, index: 17},
        dataAgeMs: 250,
        follows: 'e-2',
      },
    });
    probe(core.adapter.port, LONG_DEADLINE_MS);
    await waitForEvent(2);
    expect(opened).toBe(1);
  });

  test('a probe times out once at its deadline; the next one reconnects', async () => {
    let isSilent = true;
    const port = await startCallerAdapterServer(() =>
      isSilent ? new Promise(() => undefined) : status,
    );
    startAdapter();
    const before = runtime.now();
    probe(port, SHORT_DEADLINE_MS);
    const event = await waitForEvent(1);
    expect(event).toMatchObject({fault: 'timeout', status: null});
    expect(runtime.now() - before).toBeGreaterThanOrEqual(
      SHORT_DEADLINE_MS - 1,
    );
    isSilent = false;
    probe(port, LONG_DEADLINE_MS);
    expect(await waitForEvent(2)).toMatchObject({fault: null});
    expect(getEvents()).toHaveLength(2);
  });

  test('a probe reports the fault when the endpoint resets the connection', async () => {
    const port = await listenRaw(socket => socket.destroy());
    startAdapter();
    probe(port, LONG_DEADLINE_MS);
    expect(await waitForEvent(1)).toMatchObject({fault: 'reset', status: null});
  });

  test('runs commands on an endpoint', async () => {
    const seen: string[] = [];
    const port = await startCallerAdapterServer(({sql}) => {
      seen.push(sql);
      const error = {errno: 1644, sqlState: '45000', message: 'term'};
      return seen.length === 2 ? {type: 'error', error, inTx: false} : ok();
    });
    startAdapter();
    const base = {
      type: 'command_endpoint',
      endpoint: 'e-1',
      address: ADDRESS,
      port,
      deadline: runtime.now() + LONG_DEADLINE_MS,
    } as const;
    getAdapter().performers.command_endpoint({
      ...base,
      command: {type: 'promote', term: 4, startIndex: 9},
    });
    expect(await waitForEvent(1)).toMatchObject({ok: true});
    getAdapter().performers.command_endpoint({
      ...base,
      command: {
        type: 'follow',
        primary: "e-'2",
        address: '127.0.1.1',
        port: 3306,
        term: 4,
        startIndex: 9,
      },
    });
    expect(await waitForEvent(2)).toMatchObject({
      ok: false,
      detail: expect.stringContaining('1644'),
    });
    expect(seen).toEqual([
      'CALL ledger_promote(4, 9)',
      "CALL ledger_follow('e-\\'2', '127.0.1.1', 3306, 4, 9)",
    ]);
  });
});
