/** Creates an entry host from its engine and adapters, and connects them. */

import {merge} from 'rxjs';
import type {Result} from 'ts-results';
import type {HostObject} from '@lacewingroad/core';
import {createPeerAdapter} from '@lacewingroad/peer';
import {createPlatformAdapter} from '@lacewingroad/platform';
import {waitUntil} from '@lacewingroad/runtime';
import type {Instant, Runtime} from '@lacewingroad/runtime';
import type {
  SeedSettings,
  Settings,
  SettingsError,
} from '@lacewingroad/settings';
import {
  createHlc,
  createRecorder,
  createStdoutDestination,
} from '@lacewingroad/telemetry';
import type {LogDestination, Recorder} from '@lacewingroad/telemetry';
import {createEventLoop} from './event_loop.js';
import type {EventLoop} from './event_loop.js';
import {createOperatorAdapter} from './operator_http.js';
import {DEFAULT_PARTS} from './parts.js';
import type {CallerPort, EntryParts} from './parts.js';
import {planReload} from './reload.js';
import {createBoardGauges} from './board_gauges.js';
import {createTimers} from './timers.js';

/** Time to send the last answers after draining, in milliseconds. */
const DRAIN_FLUSH_MS = 100;
/** Time after the drain deadline at which draining is aborted, in ms. */
const DRAIN_OVERRUN_MS = 500;
const INCARNATION_DIGITS = 12;

/** Ports on which an entry host listens. */
export interface EntryPorts {
  readonly caller: number;
  readonly peer: number;
  readonly operator: number;
}

/** A running entry host. */
export interface EntryHost {
  /** Resolves once all ports are open; rejects if one cannot be opened. */
  readonly ready: Promise<EntryPorts>;
  /** Accepts no new work; resolves once the work in progress has ended. */
  readonly drain: (deadline: Instant) => Promise<void>;
  /**
   * Applies reloaded settings except those that need a restart, and logs the
   * names of both. Invalid settings are rejected as a whole.
   */
  readonly reload: (loaded: Result<Settings, SettingsError>) => void;
  /** Returns the settings in force. */
  readonly readSettings: () => Settings;
  /** Stops immediately; resolves once all sockets are closed. */
  readonly close: () => Promise<void>;
}

/** Options that replace the defaults of a daemon process. */
export interface EntryOptions {
  readonly parts?: EntryParts;
  readonly destination?: LogDestination;
  /** Whether /metrics includes process metrics; for one host per process. */
  readonly withProcessMetrics?: boolean;
  /** Called after a defect was logged; ends the process by default. */
  readonly onFatal?: (err: unknown) => void;
}

/** Returns a random id that distinguishes this start from earlier ones. */
function createIncarnation(runtime: Runtime): string {
  const digit = (): string => Math.floor(runtime.random() * 16).toString(16);
  return Array.from({length: INCARNATION_DIGITS}, digit).join('');
}

/** Converts a seed of the settings to a host object of the platform. */
function toSeedHost(seed: SeedSettings): HostObject {
  return {
    id: seed.host,
    dataCentre: seed.dataCentre,
    state: 'live',
    peerAddress: seed.peerAddress,
    callerAddress: '',
    operatorAddress: '',
  };
}

/** Logs a defect with its stack; resolves once it is written. */
function recordFatal(recorder: Recorder, err: unknown): Promise<void> {
  const detail =
    err instanceof Error ? (err.stack ?? err.message) : String(err);
  recorder.record({
    type: 'record',
    level: 'error',
    event: 'fatal_error',
    fields: {detail},
  });
  return recorder.flush();
}

/** Starts an entry host; `ready` resolves once it listens. */
export function startEntryHost(
  settings: Settings,
  runtime: Runtime,
  options: EntryOptions = {},
): EntryHost {
  const {host, dataCentre, address, listen} = settings;
  const parts = options.parts ?? DEFAULT_PARTS;
  const onFatal = options.onFatal ?? (() => process.exit(1));
  const incarnation = createIncarnation(runtime);
  const hlc = createHlc(runtime);
  const recorder = createRecorder({
    host,
    hlc,
    now: runtime.now,
    level: settings.log.level,
    linesPerSecond: settings.log.linesPerSecond,
    destination: options.destination ?? createStdoutDestination(runtime),
    withProcessMetrics: options.withProcessMetrics ?? false,
  });
  const engine = parts.createEntryEngine({
    host,
    dataCentre,
    incarnation,
    startedAt: runtime.now(),
    seeds: settings.seeds.map(toSeedHost),
  });
  createBoardGauges({getBoard: engine.getBoard, now: runtime.now}).forEach(
    recorder.metrics.registerGauge,
  );
  let inForce = settings;
  let isDraining = false;
  let isClosed = false;
  let loop: EventLoop | null = null;
  let callerAdapter: CallerPort | null = null;
  let reportDrained: () => void = () => undefined;

  const timers = createTimers(runtime, event => loop?.push(event));
  const endpoints = parts.createEndpointAdapter({
    runtime,
    sourceAddress: address,
    ...settings.endpoints,
  });
  const platform = createPlatformAdapter({
    runtime,
    url: settings.platform.url,
    sourceAddress: address,
  });
  const peers = createPeerAdapter({
    runtime,
    hlc,
    host,
    incarnation,
    sourceAddress: address,
    listenPort: listen.peer,
    resolveAddress: other =>
      engine.getBoard().view.hosts.get(other)?.value.peerAddress ?? null,
  });
  const operators = createOperatorAdapter({
    runtime,
    address,
    port: listen.operator,
    source: {
      getBoard: engine.getBoard,
      isDraining: () => isDraining,
      readEvents: recorder.readEvents,
      readMetrics: recorder.metrics.readText,
      metricsType: recorder.metrics.contentType,
    },
  });

  const recordOwn = (
    event: string,
    fields: Readonly<Record<string, string | number>>,
  ): void => recorder.record({type: 'record', level: 'info', event, fields});

  const start = async (): Promise<EntryPorts> => {
    const callers = await parts.createCallerAdapter({
      runtime,
      address,
      port: listen.caller,
      users: inForce.users,
    });
    callerAdapter = callers;
    const started = createEventLoop({
      engine,
      runtime,
      performers: {
        ...callers.performers,
        ...endpoints.performers,
        ...platform.performers,
        ...peers.performers,
        ...operators.performers,
        ...timers.performers,
        record: recorder.record,
        drained: () => reportDrained(),
      },
      onFatal: err => {
        void recordFatal(recorder, err).then(() => onFatal(err));
      },
    });
    loop = started;
    merge(
      callers.events$,
      endpoints.events$,
      platform.events$,
      peers.events$,
      operators.events$,
    ).subscribe(started.push);
    started.push({type: 'started'});
    const ports = {
      caller: callers.port,
      peer: await peers.listen(),
      operator: await operators.listen(),
    };
    recordOwn('listening', {address, incarnation, ...ports});
    return ports;
  };

  const close = async (): Promise<void> => {
    if (isClosed) {
      return;
    }
    isClosed = true;
    await ready.catch(() => undefined);
    loop?.stop();
    timers.close();
    await Promise.all([
      callerAdapter?.close(),
      endpoints.close(),
      platform.close(),
      peers.close(),
      operators.close(),
    ]);
    recordOwn('stopped', {});
    await recorder.flush();
  };

  const drain = async (deadline: Instant): Promise<void> => {
    isDraining = true;
    await ready.catch(() => undefined);
    callerAdapter?.stopListening();
    recordOwn('drain_requested', {
      left_ms: Math.round(deadline - runtime.now()),
    });
    const drained = new Promise<void>(resolve => {
      const latest = deadline + DRAIN_OVERRUN_MS;
      const unregister = runtime.at(latest, resolve);
      reportDrained = () => {
        unregister();
        resolve();
      };
    });
    loop?.push({type: 'drain', deadline});
    await drained;
    await waitUntil(runtime, runtime.now() + DRAIN_FLUSH_MS);
  };

  const reload = (loaded: Result<Settings, SettingsError>): void => {
    if (loaded.err) {
      recorder.record({
        type: 'record',
        level: 'warn',
        event: 'settings_rejected',
        fields: {detail: loaded.val.message},
      });
      return;
    }
    const {settings, applied, needRestart} = planReload(inForce, loaded.val);
    recorder.configure(settings.log);
    callerAdapter?.setUsers(settings.users);
    inForce = settings;
    recordOwn('settings_reloaded', {
      applied: applied.join(),
      need_restart: needRestart.join(),
    });
  };

  const ready = start();
  // Prevents an unhandled rejection if no caller awaits `ready`.
  ready.catch(() => undefined);
  return {ready, drain, reload, readSettings: () => inForce, close};
}
