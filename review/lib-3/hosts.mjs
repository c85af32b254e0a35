/** Starts the project's program as the deploy file says, one process a host. */

import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {get} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';

const ROOT = fileURLToPath(new URL('../../', import.meta.url));
/** Delay before a process that has ended is started again, in ms. */
const RESTART_MS = 500;
/** Characters of a host's output that are kept. */
const OUTPUT_LENGTH = 200_000;

/** Returns the words of the line `run` of the deploy file. */
function readRunCommand() {
  const text = readFileSync(join(ROOT, 'deploy', 'system.toml'), 'utf8');
  const match = /^run = "(.*)"$/m.exec(text);
  if (match === null) {
    throw new Error('the deploy file has no line `run`');
  }
  return match[1].split(' ');
}

/** Finds free ports; the system gives them to no outgoing connection. */
async function findPorts(ip, count) {
  const ports = new Set();
  while (ports.size < count) {
    const port = 13_000 + Math.floor(Math.random() * 18_000);
    const server = createServer();
    const isFree = await new Promise(resolve => {
      server.once('error', () => resolve(false));
      server.listen(port, ip, () => resolve(true));
    });
    if (isFree) {
      ports.add(port);
      server.close();
      await once(server, 'close');
    }
  }
  return [...ports];
}

function formatSettings({name, zone, zones, ip, ports, store, control}) {
  const regions = zones.map(one => `  ${one}: "sicilia-sud"`).join('\n');
  return `Node: "${name}"
Role: "host"
MachineClass: "edge"
Serves:
  - "edge"
Ip: "${ip}"
Zone: "${zone}"
Region: "sicilia-sud"
Zones:
${regions}
Listen:
  Front: "${ip}:${ports[0]}"
  ReadyAddr: "${ip}:${ports[1]}"
PortRange:
  - ${ports[2]}
  - ${ports[3]}
Bootstrap: true
CountsAsLoss: false
Limits:
  CpuShare: 0.675
  Cores: 1
  MemoryMb: 350
  MaxFds: 4300
  LinkMbps: 1000.0
  DiskMb: 0
DataDir: null
Discovery: "platform"
Entry: "vip"
HeartbeatMs: 1200
Contracts: ["base", "drain", "config", "cost", "recover", "sql", "platform"]
FaultTolerance:
  Nodes: 2
  Zones: 1
  Regions: 0
Bounds:
  SeedLagS: 3
  AddrReuseS: 2
  ContactMs: 4000
  AckMs: 5000
  CatchUpS: 4
  DrainMs: 7000
  GraceS: 6
  LossSlackMs: 200
  ConfigApplyMs: 3000
  DowngradeMs: 250
  SkewMaxMs: 12000
  RecoverS: 12
  RequireFence: false
  UnfreezeMs: 300
platform:
  Addr: "${store}"
  form: "objects"
  WritesPerS: 400
  ReadsPerS: 2000
  HistoryS: 20
  ValueBytes: 1048576
  TtlMinMs: 1000
CloudApi:
  Addr: "${control}"
  RatePerS: 50.0
  Duties:
    - "failover"
  DutyPerS: 50.0
`;
}

/** Asks a host whether it takes callers. */
export function askReady({ip, readyPort}) {
  return new Promise(resolve => {
    const req = get(
      {host: ip, port: readyPort, path: '/ready', timeout: 1_000},
      res => {
        res.resume();
        resolve(res.statusCode === 200);
      },
    );
    req.on('timeout', () => req.destroy());
    req.on('error', () => resolve(false));
  });
}

/**
 * Starts a host in each zone. `openStore` returns the store's address as a host
 * is to see it. A process that ends is started again until `close`.
 */
export async function startHosts({zones, control, openStore, log}) {
  const folder = mkdtempSync(join(tmpdir(), 'review-'));
  const [program, ...args] = readRunCommand();
  const hosts = [];
  let isClosing = false;

  const start = host => {
    const {PATH, HOME, LANG} = process.env;
    const child = spawn(program, args, {
      cwd: ROOT,
      env: {
        PATH,
        HOME,
        ...(LANG === undefined ? {} : {LANG}),
        LACEWINGROAD_SETTINGS: host.settingsPath,
      },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const collect = chunk => {
      const output = host.output + chunk.toString('latin1');
      host.output = output.slice(-OUTPUT_LENGTH);
      host.onOutput?.(chunk.toString('latin1'));
    };
    child.stdout.on('data', collect);
    child.stderr.on('data', collect);
    host.child = child;
    log(`host ${host.name} started, pid ${child.pid}`);
    child.once('close', (code, signal) => {
      host.ends.push({at: performance.now(), code, signal});
      log(`host ${host.name} ended, code ${code}, signal ${signal}`);
      if (!isClosing && host.isRestarted) {
        setTimeout(() => {
          if (!isClosing) {
            start(host);
          }
        }, RESTART_MS);
      }
    });
  };

  for (const [index, zone] of zones.entries()) {
    const ip = `127.0.1.${index + 1}`;
    const ports = await findPorts(ip, 4);
    const name = `edge-${zone}-1`;
    const settingsPath = join(folder, `${name}.yaml`);
    const store = await openStore(name);
    writeFileSync(
      settingsPath,
      formatSettings({name, zone, zones, ip, ports, store, control}),
    );
    const host = {
      name,
      zone,
      ip,
      callerPort: ports[0],
      readyPort: ports[1],
      metricsPort: ports[3],
      settingsPath,
      output: '',
      onOutput: null,
      ends: [],
      isRestarted: true,
      child: null,
    };
    hosts.push(host);
    start(host);
  }

  return {
    hosts,
    close: async () => {
      isClosing = true;
      await Promise.all(
        hosts.map(async ({child}) => {
          if (child.exitCode === null && child.signalCode === null) {
            child.kill('SIGKILL');
            await once(child, 'close');
          }
        }),
      );
      rmSync(folder, {recursive: true});
    },
  };
}
