/**
 * Starts the project's hosts with the command of the deploy file, beside
 * stand-ins of the platform. A process that ends is started again shortly
 * after, as the platform does.
 */

import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
  appendFileSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {createPeerPassOn, Path, replaceBytes, startProxy} from './network.mjs';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));
const STORE = new URL('dist/stand_in_store.mjs', import.meta.url);
/** Time until the platform starts an ended process again, in ms. */
const RESTART_MS = 300;
/** Output of a process that is kept, in characters. */
const OUTPUT_LENGTH = 200_000;

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

/** Writes lines with the time since the start to `record.txt` of a case. */
export function createRecord(folder) {
  const path = join(folder, 'record.txt');
  const startedAt = performance.now();
  writeFileSync(path, '');
  return line => {
    const seconds = ((performance.now() - startedAt) / 1_000).toFixed(3);
    appendFileSync(path, `${seconds} ${line}\n`);
  };
}

/** Waits until a condition holds; returns whether it did in time. */
export async function waitUntil(isMet, timeoutMs) {
  const deadline = performance.now() + timeoutMs;
  while (!isMet()) {
    if (performance.now() > deadline) {
      return false;
    }
    await sleep(20);
  }
  return true;
}

async function isFree(ip, port) {
  const server = createServer().listen(port, ip);
  try {
    await once(server, 'listening');
  } catch {
    return false;
  }
  server.close();
  await once(server, 'close');
  return true;
}

/** Finds ports that are free at each of the addresses. */
async function findPorts(ips, count) {
  const ports = [];
  while (ports.length < count) {
    const port = 12_000 + Math.floor(Math.random() * 20_000);
    const free = await Promise.all(ips.map(ip => isFree(ip, port)));
    if (free.every(Boolean) && !ports.includes(port)) {
      ports.push(port);
    }
  }
  return ports;
}

/** Reads the command of the only role from the deploy file. */
function readCommand() {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const [, command] = /^run = "(.*)"$/m.exec(text);
  return command.split(' ');
}

/** The settings of a host, as in the users' page on deployments. */
function formatSettings({name, zone, zones, ip, ports, store, control}) {
  const zoneLines = zones.map(other => `  ${other}: "region"`).join('\n');
  return `Node: "${name}"
Role: "host"
MachineClass: "edge"
Serves:
  - "edge"
Ip: "${ip}"
Zone: "${zone}"
Region: "region"
Zones:
${zoneLines}
Listen:
  Front: "${ip}:${ports[0]}"
  ReadyAddr: "${ip}:${ports[1]}"
PortRange:
  - ${ports[2]}
  - ${ports[3]}
Seeds: []
Bootstrap: true
CountsAsLoss: false
Limits: {CpuShare: 0.675, Cores: 1, MemoryMb: 350, MaxFds: 4300, LinkMbps: 1000.0, DiskMb: 0}
DataDir: null
Discovery: "platform"
Entry: "vip"
HeartbeatMs: 1200
Contracts: ["base", "drain", "config", "cost", "recover", "sql", "platform"]
FaultTolerance: {Nodes: 2, Zones: 1, Regions: 0}
Bounds: {SeedLagS: 3, AddrReuseS: 2, ContactMs: 4000, AckMs: 5000, CatchUpS: 4, DrainMs: 7000, GraceS: 6, LossSlackMs: 200, ConfigApplyMs: 3000, DowngradeMs: 250, SkewMaxMs: 12000, RecoverS: 12, RequireFence: false, UnfreezeMs: 300}
platform: {Addr: "${store}", form: "objects", WritesPerS: 400, ReadsPerS: 2000, HistoryS: 20, ValueBytes: 1048576, TtlMinMs: 1000}
CloudApi: {Addr: "${control}", RatePerS: 50.0, Duties: ["failover"], DutyPerS: 50.0}
`;
}

/** Writes the desired state: three routes for each group. */
function putTable(store, groups, timeoutMs) {
  const types = ['primary', 'bounded_stale', 'read_your_writes'];
  store.put('config', 'main', {
    Version: 3,
    Routes: groups.flatMap(({name}) =>
      types.map((type, priority) => ({
        Name: `${name}-${type}`,
        Host: `${name}-${type}`,
        Service: name,
        Type: type,
        TimeoutMs: timeoutMs,
        SloMs: 200,
        Priority: priority,
        MaxStalenessMs: 1_500,
      })),
    ),
    Services: groups.map(({name}) => ({
      Name: name,
      MaxConns: 30,
      SyncReplicas: 1,
    })),
    Limits: {TxIdleMs: 3_000},
  });
}

/**
 * Starts a platform with one host in each zone. The groups register their
 * endpoints at once, and each reports every 1,200 ms. With `hasNetwork`, the
 * paths between zones can be cut. Without a `controlZone`, each host reaches the
 * control interface at all times.
 */
export async function startPlatform({
  groups,
  record,
  zones = ['za', 'zb', 'zc'],
  hostsPerZone = 1,
  timeoutMs = 1_500,
  hasNetwork = false,
  storeZone = zones[0],
  controlZone = zones[0],
}) {
  const {startStandInStore} = await import(STORE.href);
  const store = await startStandInStore();
  const folder = mkdtempSync(join(tmpdir(), 'review-'));
  // Addresses of hosts and of the proxies before them are of the same length.
  const subnet = `${process.pid % 10}.${100 + Math.floor(Math.random() * 100)}`;
  const net = `127.11${subnet}`;
  const relayNet = `127.21${subnet}`;
  const names = zones.flatMap(zone =>
    Array.from({length: hostsPerZone}, (_, at) => ({
      name: `edge-${zone}-${at + 1}`,
      zone,
    })),
  );
  const ips = names.map((_, at) => `${net}.${at + 1}`);
  const relayIps = names.map((_, at) => `${relayNet}.${at + 1}`);
  const ports = await findPorts([...ips, ...relayIps], 4);
  const [program, ...args] = readCommand();
  let isClosing = false;

  store.onFailover = (name, id) => {
    record(`failover of ${name} to ${id}`);
    return groups.find(group => group.name === name)?.promote(id) ?? false;
  };
  putTable(store, groups, timeoutMs);
  let seq = 0;
  const report = () => {
    for (const {name, endpoints, slots} of groups) {
      endpoints.forEach((endpoint, at) =>
        store.put('servers', endpoint.id, {
          Service: name,
          Addr: endpoint.address,
          Zone: zones[at % zones.length],
          Version: 'v1',
          Slots: slots,
          State: 'ready',
          ColdLeftMs: 0,
          Seq: ++seq,
          DbRole: endpoint.role,
          born: 1_700_000_000_000,
        }),
      );
    }
  };
  report();
  const reports = setInterval(report, 1_200);

  const start = host => {
    const child = spawn(program, args, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        LANG: process.env.LANG ?? 'C',
        LACEWINGROAD_SETTINGS: host.settingsPath,
      },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    host.child = child;
    host.starts++;
    const collect = chunk => {
      host.output = (host.output + chunk.toString('latin1')).slice(
        -OUTPUT_LENGTH,
      );
    };
    child.stdout.on('data', collect);
    child.stderr.on('data', collect);
    host.exited = once(child, 'close').then(([code, signal]) => {
      host.child = null;
      if (isClosing) {
        return;
      }
      const isOwnEnd = !host.isKilled;
      host.isKilled = false;
      host.ownEnds += isOwnEnd ? 1 : 0;
      record(
        `${host.name} ended ${isOwnEnd ? 'by itself' : 'killed'}: code ${code}, signal ${signal}`,
      );
      const reason = /FATAL ERROR.*/.exec(host.output)?.[0];
      if (isOwnEnd && reason !== undefined) {
        record(`${host.name} printed: ${reason}`);
      }
      host.output = '';
      setTimeout(() => {
        if (!isClosing && !host.isRemoved) {
          start(host);
        }
      }, RESTART_MS);
    });
  };

  const uncutPath = new Path();
  const paths = new Map();
  /** Returns the path between two zones; that within a zone is never cut. */
  const getPath = (a, b) => {
    const key = [a, b].sort().join(' ');
    if (!paths.has(key)) {
      paths.set(key, new Path());
    }
    return paths.get(key);
  };
  const proxies = [];
  const openProxy = async cfg => {
    const proxy = await startProxy(cfg);
    proxies.push(proxy);
    return proxy.address;
  };
  const peerAddresses = ips.map((ip, at) => [
    `${ip}:${ports[2]}`,
    `${relayIps[at]}:${ports[2]}`,
  ]);

  /** Opens the proxies of a host; returns the addresses that it is given. */
  const openPaths = async (zone, at) => {
    if (!hasNetwork) {
      return {store: store.address, control: store.address};
    }
    const shown = new Map();
    for (const {endpoints} of groups) {
      for (const [index, {address}] of endpoints.entries()) {
        const path = getPath(zone, zones[index % zones.length]);
        shown.set(
          `"${address}"`,
          `"${await openProxy({target: address, selectPath: () => path})}"`,
        );
      }
    }
    const reader = await store.addReader(text =>
      text.replace(/"127\.0\.0\.1:\d+"/g, found => shown.get(found) ?? found),
    );
    await openProxy({
      ip: relayIps[at],
      port: ports[2],
      target: `${ips[at]}:${ports[2]}`,
      selectPath: from => getPath(names[ips.indexOf(from)]?.zone ?? zone, zone),
      createPassOn: createPeerPassOn(() => peerAddresses),
    });
    return {
      store: await openProxy({
        target: reader.address,
        selectPath: () => getPath(zone, storeZone),
        createPassOn: () => chunk => {
          replaceBytes(chunk, peerAddresses);
          return chunk;
        },
      }),
      control: await openProxy({
        target: store.address,
        selectPath: () =>
          controlZone === null ? uncutPath : getPath(zone, controlZone),
      }),
    };
  };

  /** Partitions a zone from the others, or ends that. */
  const setCut = (zone, isCut) => {
    for (const other of zones.filter(name => name !== zone)) {
      const path = getPath(zone, other);
      if (isCut) {
        path.cut();
      } else {
        path.heal();
      }
    }
    for (const {endpoints} of groups) {
      const isInside = index => zones[index % zones.length] === zone;
      endpoints.forEach((endpoint, index) => {
        endpoint.cutFrom = new Set(
          endpoints
            .filter((_, at) => isCut && isInside(at) !== isInside(index))
            .map(({id}) => id),
        );
      });
    }
  };

  const hosts = [];
  for (const [at, {name, zone}] of names.entries()) {
    const addresses = await openPaths(zone, at);
    const settingsPath = join(folder, `${name}.yaml`);
    writeFileSync(
      settingsPath,
      formatSettings({
        name,
        zone,
        zones,
        ip: ips[at],
        ports,
        ...addresses,
      }),
    );
    hosts.push({
      name,
      zone,
      settingsPath,
      front: `${ips[at]}:${ports[0]}`,
      ready: `http://${ips[at]}:${ports[1]}/ready`,
      child: null,
      exited: null,
      output: '',
      starts: 0,
      ownEnds: 0,
      isKilled: false,
      isRemoved: false,
      isReady: false,
    });
  }
  hosts.forEach(start);
  process.on('exit', () => hosts.forEach(({child}) => child?.kill('SIGKILL')));

  /** Asks each host once a second whether it takes callers. */
  const askReady = async host => {
    const status = await fetch(host.ready, {signal: AbortSignal.timeout(900)})
      .then(res => res.status)
      .catch(() => 0);
    host.isReady = status === 200;
  };
  const probes = setInterval(() => hosts.forEach(askReady), 500);

  return {
    store,
    hosts,
    cutZone: zone => setCut(zone, true),
    healZone: zone => setCut(zone, false),
    findOwner: group => {
      const spec = store.read('poolowners', group)?.spec;
      return hosts.find(({name}) => name === spec?.owner.host) ?? null;
    },
    kill: (host, signal = 'SIGKILL') => {
      host.isKilled = true;
      host.child?.kill(signal);
    },
    close: async () => {
      isClosing = true;
      clearInterval(reports);
      clearInterval(probes);
      hosts.forEach(({child}) => child?.kill('SIGKILL'));
      await Promise.all(hosts.map(({exited}) => exited));
      groups.forEach(group => group.close());
      proxies.forEach(proxy => proxy.close());
      await store.close();
      rmSync(folder, {recursive: true});
    },
  };
}

/** Runs a case; exits with 0, 1 or 2 as the issue asks. */
export async function runCase(record, check) {
  for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP']) {
    process.on(signal, () => process.exit(2));
  }
  const timer = setTimeout(() => {
    record('the script took too long');
    process.exit(2);
  }, 115_000);
  try {
    const isBroken = await check();
    record(isBroken ? 'result: the rule was broken' : 'result: the rule held');
    clearTimeout(timer);
    process.exit(isBroken ? 1 : 0);
  } catch (err) {
    record(`the case could not run: ${err instanceof Error ? err.stack : err}`);
    process.exit(2);
  }
}
