/** In-memory fakes of the commands' external dependencies. */

import type {HostObject, UpdateResult} from '@lacewingroad/core';
import type {CliError} from '../../cli_error.js';
import type {CliContext, PlatformPort, StoredObject} from '../../ports.js';
import {Err, Ok} from '../../result.js';
import type {Result} from '../../result.js';

/** How the fake platform handles the next update. */
export type PutOutcome = 'accept' | 'lose_answer' | 'lose_request' | 'refuse';

/** An in-memory platform. */
export class FakePlatform {
  readonly objects = new Map<string, StoredObject>();
  /** Outcomes of the next updates, in order; later updates are accepted. */
  readonly putOutcomes: PutOutcome[] = [];
  /** Number of reads that will fail; Infinity for an outage. */
  remainingReadFailures = 0;
  /** Runs once, before the next update is handled. */
  beforePut: (() => void) | null = null;
  putCount = 0;

  set(key: string, value: unknown): void {
    const version = (this.objects.get(key)?.version ?? 0) + 1;
    const stored: unknown = JSON.parse(JSON.stringify(value));
    this.objects.set(key, {key, version, value: stored});
  }

  readonly port: PlatformPort = {
    getObject: async key => this.read(() => this.objects.get(key) ?? null),
    listObjects: async prefix =>
      this.read(() =>
        [...this.objects.values()].filter(({key}) => key.startsWith(prefix)),
      ),
    putObject: async (key, base, value) => this.put(key, base, value),
    close: () => undefined,
  };

  private read<T>(get: () => T): Result<T, CliError> {
    if (this.remainingReadFailures > 0) {
      this.remainingReadFailures--;
      return Err({kind: 'unreachable', message: 'platform unavailable'});
    }
    return Ok(get());
  }

  private put(key: string, base: number, value: unknown): UpdateResult {
    this.putCount++;
    this.beforePut?.();
    this.beforePut = null;
    const outcome = this.putOutcomes.shift() ?? 'accept';
    if (outcome === 'refuse') {
      return {type: 'refused'};
    }
    if (outcome === 'lose_request') {
      return {type: 'unknown'};
    }
    const version = this.objects.get(key)?.version ?? 0;
    if (version !== base) {
      return {type: 'conflict', version};
    }
    this.set(key, value);
    return outcome === 'lose_answer'
      ? {type: 'unknown'}
      : {type: 'updated', version: version + 1, revision: 1};
  }
}

/** Entry hosts that put the platform's tables in force immediately. */
export class FakeHosts {
  readonly unreachable = new Set<string>();
  /** Hosts that keep reporting an old table version, with that version. */
  readonly stuck = new Map<string, number>();
  readonly posts: unknown[] = [];

  constructor(private readonly platform: FakePlatform) {
    for (const host of HOSTS) {
      platform.set(`hosts/${host.id}`, host);
    }
  }

  async get(address: string, path: string): Promise<Result<unknown, CliError>> {
    const host = HOSTS.find(({operatorAddress}) => operatorAddress === address);
    if (host === undefined || this.unreachable.has(host.id)) {
      return Err({kind: 'unreachable', message: `${address} is unreachable`});
    }
    const answers: Readonly<Record<string, () => unknown>> = {
      '/hosts': () => ({
        host: host.id,
        hosts: HOSTS.map(entry => ({...entry, reachable: true})),
      }),
      '/table': () => this.tables(host),
      '/readyz': () => null,
    };
    return Ok(answers[path]?.());
  }

  private tables(host: HostObject): unknown {
    const objects = [...this.platform.objects.values()];
    const tables = objects
      .filter(({key}) => key.startsWith('tables/'))
      .map(({key, version}) => ({
        service: key.slice('tables/'.length),
        version: this.stuck.get(host.id) ?? version,
        inForceForMs: 90_000,
        editId: 'any',
        rows: [],
      }));
    const {id, dataCentre} = host;
    return {host: id, dataCentre, revision: 1, viewAgeMs: 40, tables};
  }
}

function createHost(id: string, dataCentre: string, ip: string): HostObject {
  return {
    id,
    dataCentre,
    state: 'live',
    peerAddress: `${ip}:1`,
    callerAddress: `${ip}:2`,
    operatorAddress: `${ip}:3`,
  };
}

const HOSTS: readonly HostObject[] = [
  createHost('lima-a-1', 'lima-a', '127.0.1.1'),
  createHost('lima-b-1', 'lima-b', '127.0.2.1'),
];

/** An operator whose machine has its own files. */
export class FakeOperator {
  readonly files = new Map<string, string>();
  out = '';
  err = '';
  private now = 0;

  constructor(
    private readonly userName: string,
    private readonly platform: FakePlatform,
    private readonly hosts: FakeHosts,
  ) {}

  /** Creates the context; its clock jumps to the instant of each timer. */
  readonly context = (): CliContext => ({
    runtime: {
      now: () => this.now,
      wallNow: () => Date.UTC(2026, 5, 1) + this.now,
      at: (at, fn) => {
        queueMicrotask(() => {
          this.now = Math.max(this.now, at);
          fn();
        });
        return () => undefined;
      },
      random: () => 0.5,
    },
    env: {LACEWINGROAD_PLATFORM: 'http://127.0.0.1:1'},
    userName: this.userName,
    print: text => {
      this.out += `${text}\n`;
    },
    printError: text => {
      this.err += `${text}\n`;
    },
    files: {
      read: async path => {
        const text = this.files.get(path);
        return text === undefined
          ? Err({kind: 'invalid_input', message: `no file ${path}`})
          : Ok(text);
      },
      create: async (path, text) => {
        if (this.files.has(path)) {
          return Err({kind: 'invalid_input', message: `${path} exists`});
        }
        this.files.set(path, text);
        return Ok(null);
      },
    },
    openPlatform: () => this.platform.port,
    operators: {
      get: (address, path) => this.hosts.get(address, path),
      post: async (_address, _path, body) => {
        this.hosts.posts.push(body);
        return Err({kind: 'no_answer', message: 'no answer'});
      },
    },
    programs: {
      runEntry: async () => 0,
      checkSettings: async () => Ok(null),
      runBench: async () => Ok({lines: [], data: null}),
    },
  });
}
