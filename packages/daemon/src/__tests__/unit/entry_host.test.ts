import {connect} from 'node:net';
import type {Socket} from 'node:net';
import {afterEach, describe, expect, it} from 'vitest';
import {unchanged} from '@lacewingroad/core';
import type {HandlerTable} from '@lacewingroad/core';
import {createSystemRuntime, waitUntil} from '@lacewingroad/runtime';
import type {Settings} from '@lacewingroad/settings';
import {startEntryHost} from '@lacewingroad/daemon';
import type {EntryHost, EntryPorts} from '@lacewingroad/daemon';
import {addHost, createFakeParts} from './fake_parts.js';
import type {FakeParts} from './fake_parts.js';

const runtime = createSystemRuntime();
const ADDRESS = '127.0.0.1';
const WAIT_TIMEOUT_MS = 20_000;
const POLL_MS = 5;
const SETTINGS: Settings = {
  host: 'a-1',
  dataCentre: 'a',
  address: ADDRESS,
  listen: {caller: 0, peer: 0, operator: 0},
  platform: {url: 'http://127.0.0.1:9'},
  endpoints: {user: 'proxy', password: ''},
  users: [],
  seeds: [],
  log: {level: 'info', linesPerSecond: 0},
  drainSeconds: 1,
};

interface StartedHost {
  readonly host: EntryHost;
  readonly fake: FakeParts;
  readonly ports: EntryPorts;
  readonly lines: string[];
  readonly fatal: unknown[];
  readonly url: string;
}

const hosts: EntryHost[] = [];

afterEach(async () => {
  await Promise.all(hosts.splice(0).map(host => host.close()));
});

/** Starts a host whose engine has the given handlers. */
async function start(
  handlers: HandlerTable,
  name = 'a-1',
  freshAt: number | null = 0,
): Promise<StartedHost> {
  const fake = createFakeParts(name, handlers, freshAt);
  const lines: string[] = [];
  const fatal: unknown[] = [];
  const host = startEntryHost({...SETTINGS, host: name}, runtime, {
    parts: fake.parts,
    destination: {
      write: line => {
        lines.push(line);
      },
      flush: () => Promise.resolve(),
    },
    onFatal: err => {
      fatal.push(err);
    },
  });
  hosts.push(host);
  const ports = await host.ready;
  const url = `http://${ADDRESS}:${ports.operator}`;
  return {host, fake, ports, lines, fatal, url};
}

/** Waits until `isTrue` returns true; throws after WAIT_TIMEOUT_MS. */
async function until(isTrue: () => boolean): Promise<void> {
  const deadline = runtime.now() + WAIT_TIMEOUT_MS;
  while (!isTrue()) {
    if (runtime.now() > deadline) {
      throw new Error(`Condition not met in time: ${isTrue.toString()}`);
    }
    await waitUntil(runtime, runtime.now() + POLL_MS);
  }
}

describe('startEntryHost', () => {
  it('performs actions and turns their results into events', async () => {
    const {fake, lines, url} = await start({
      started: board =>
        unchanged(
          board,
          {type: 'set_timer', at: 0, timer: {name: 'sync'}},
          {type: 'close_caller', caller: 5},
          {type: 'read_platform', since: 0, deadline: runtime.now() + 5_000},
        ),
      timer: board =>
        unchanged(board, {
          type: 'record',
          level: 'warn',
          event: 'timer_seen',
          fields: {group: 'g1'},
        }),
    });
    await until(() =>
      ['timer', 'platform_read_failed'].every(type =>
        fake.seen.some(event => event.type === type),
      ),
    );
    expect(fake.seen[0]).toEqual({type: 'started'});
    expect(fake.performed).toEqual([{type: 'close_caller', caller: 5}]);
    expect(lines.some(line => line.includes('event=timer_seen'))).toBe(true);
    const res = await fetch(`${url}/events?after=1`);
    const page = (await res.json()) as {events: {event: string}[]};
    expect(page.events.map(({event}) => event)).toContain('timer_seen');
    const metrics = await (await fetch(`${url}/metrics`)).text();
    expect(metrics).toContain('lacewingroad_events_total{event="timer_seen"}');
  });

  it('carries messages between hosts', async () => {
    const b = await start({}, 'b-1');
    const a = await start({
      caller_closed: board =>
        unchanged(board, {
          type: 'send',
          host: 'b-1',
          msg: {type: 'session_stored', ask: 9},
        }),
    });
    addHost(a.fake.board, 'b-1', `${ADDRESS}:${b.ports.peer}`);
    a.fake.callerEvents.next({type: 'caller_closed', caller: 1});
    await until(() => b.fake.seen.some(event => event.type === 'peer_message'));
    expect(b.fake.seen.at(-1)).toMatchObject({
      host: 'a-1',
      msg: {type: 'session_stored', ask: 9},
    });
  });

  it('is not ready from the start of a drain, which ends when the engine reports it', async () => {
    const {host, url, fake} = await start({
      caller_closed: board => unchanged(board, {type: 'drained'}),
    });
    expect((await fetch(`${url}/readyz`)).status).toBe(200);
    let isOver = false;
    const drained = host.drain(runtime.now() + 60_000).then(() => {
      isOver = true;
    });
    await until(() => fake.seen.some(event => event.type === 'drain'));
    const res = await fetch(`${url}/readyz`);
    expect(res.status).toBe(503);
    expect(await res.json()).toMatchObject({ready: false});
    expect((await fetch(`${url}/healthz`)).status).toBe(200);
    expect(isOver).toBe(false);
    fake.callerEvents.next({type: 'caller_closed', caller: 1});
    await drained;
  });

  it('ends draining after the deadline if the engine does not report it', async () => {
    const {host} = await start({});
    await host.drain(runtime.now() + 50);
  });

  it('logs and reports a defect, and handles no further events', async () => {
    const {fake, fatal, lines} = await start({
      caller_closed: () => {
        throw new Error('Invariant broken: test');
      },
    });
    fake.callerEvents.next({type: 'caller_closed', caller: 1});
    fake.callerEvents.next({type: 'caller_closed', caller: 2});
    // onFatal is called once the log line is written.
    await until(() => fatal.length > 0);
    expect(fatal).toHaveLength(1);
    expect(lines.at(-1)).toMatch(/level=error.*event=fatal_error.*Invariant/);
    expect(fake.seen.filter(e => e.type === 'caller_closed')).toHaveLength(1);
  });

  it('rejects `ready` if a port is in use', async () => {
    const {ports} = await start({});
    const second = startEntryHost(
      {...SETTINGS, listen: {...SETTINGS.listen, operator: ports.operator}},
      runtime,
      {parts: createFakeParts('a-2', {}).parts},
    );
    hosts.push(second);
    await expect(second.ready).rejects.toThrow('EADDRINUSE');
  });
});

describe('operator calls', () => {
  it('requests a planned change and answers once it has ended', async () => {
    const {url} = await start({
      operator_failover: (board, event) =>
        unchanged(board, {
          type: 'answer_operator',
          ask: event.ask,
          ok: true,
          detail: `${event.group} to ${event.to}`,
        }),
    });
    const body = JSON.stringify({group: 'g1', to: 'e2'});
    const res = await fetch(`${url}/failover`, {method: 'POST', body});
    expect(await res.json()).toEqual({ok: true, detail: 'g1 to e2'});
  });

  it.each(['', '{', '{"to": "e1"}', '{"group": 5}', 'null'])(
    'refuses the failover body %j',
    async body => {
      const {url, fake} = await start({});
      const res = await fetch(`${url}/failover`, {method: 'POST', body});
      expect(res.status).toBe(400);
      expect(fake.seen.some(e => e.type === 'operator_failover')).toBe(false);
    },
  );

  it('answers all GET routes, and lists the routes for an unknown path', async () => {
    const {url} = await start({}, 'a-1', null);
    for (const path of ['table', 'groups', 'hosts', 'events']) {
      const res = await fetch(`${url}/${path}`);
      expect(res.status).toBe(200);
      expect(await res.json()).toMatchObject({host: 'a-1'});
    }
    expect((await fetch(`${url}/readyz`)).status).toBe(503);
    expect((await fetch(`${url}/events?after=x`)).status).toBe(400);
    const missing = await fetch(`${url}/tables`);
    expect(missing.status).toBe(404);
    expect(await missing.text()).toContain('GET /table');
  });

  it('serves requests while a hundred connections are idle', async () => {
    const {url, ports} = await start({});
    const idle: Socket[] = [];
    for (let count = 0; count < 100; count++) {
      const socket = connect(ports.operator, ADDRESS);
      socket.on('error', () => undefined);
      // Node reports the end of a socket only once its data has been read.
      socket.resume();
      idle.push(socket);
    }
    await until(() => idle.every(socket => !socket.connecting));
    expect((await fetch(`${url}/healthz`)).status).toBe(200);
    await until(() => idle.every(socket => socket.closed || socket.destroyed));
    expect((await fetch(`${url}/healthz`)).status).toBe(200);
  });
});
