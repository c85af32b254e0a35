/** The platform: its object store, its control interface, and entries. */

import {createServer} from 'node:http';
import {LOOPBACK, listen} from './net.mjs';

/** Interval of the backends' pings, in ms. */
const HEARTBEAT_MS = 1_200;
/** Pings that a backend misses before its entry is removed. */
const MISSED_PINGS = 3;
const EXPIRY_CHECK_MS = 50;

async function readBody(req) {
  const chunks = [];
  for await (const chunk of req) {
    chunks.push(chunk);
  }
  const text = Buffer.concat(chunks).toString('utf8');
  return text === '' ? null : JSON.parse(text);
}

function send(res, status, body) {
  res.writeHead(status, {'content-type': 'application/json'});
  res.end(body === undefined ? '' : JSON.stringify(body));
}

/** Starts the platform's store and its control interface. */
export async function startPlatform({recorder}) {
  const kinds = new Map();
  const changes = [];
  const watchers = new Set();
  const databases = [];
  const pings = new Map();
  let revision = 100;

  const getKind = kind => {
    if (!kinds.has(kind)) {
      kinds.set(kind, new Map());
    }
    return kinds.get(kind);
  };

  const addChange = (kind, object, isDeleted) => {
    changes.push({
      kind,
      revision,
      event: {Object: object, Tombstone: isDeleted},
    });
    [...watchers].forEach(wake => wake());
  };

  const put = (kind, name, spec) => {
    const before = getKind(kind).get(name);
    if (JSON.stringify(before?.spec) === JSON.stringify(spec)) {
      return before;
    }
    revision++;
    const meta = {
      Name: name,
      Revision: revision,
      Created: before?.meta.Created ?? revision,
      Finalizers: [],
      Deleting: false,
    };
    const object = {meta, spec, status: null};
    getKind(kind).set(name, object);
    addChange(kind, object, false);
    return object;
  };

  const remove = (kind, name) => {
    const object = getKind(kind).get(name);
    if (object === undefined) {
      return;
    }
    getKind(kind).delete(name);
    revision++;
    addChange(kind, object, true);
  };

  const watch = (res, kind, since, waitMs) => {
    let timer = null;
    const answer = isOver => {
      const events = changes
        .filter(change => change.kind === kind && change.revision > since)
        .map(({event}) => event);
      if (events.length === 0 && !isOver) {
        return false;
      }
      watchers.delete(wake);
      clearTimeout(timer);
      send(res, 200, {events, StoreRevision: revision});
      return true;
    };
    const wake = () => answer(false);
    if (answer(waitMs === 0)) {
      return;
    }
    watchers.add(wake);
    timer = setTimeout(() => answer(true), waitMs);
    res.on('close', () => {
      watchers.delete(wake);
      clearTimeout(timer);
    });
  };

  const isConflict = (meta, current) =>
    typeof meta.Revision === 'number' &&
    meta.Revision !== current.meta.Revision;

  const handle = async (req, res) => {
    const url = new URL(req.url, 'http://store');
    const [, , kind = '', rawName = ''] = url.pathname.split('/');
    const name = decodeURIComponent(rawName);
    const current = getKind(kind).get(name);
    if (req.method === 'GET' && url.searchParams.has('Watch')) {
      const {searchParams} = url;
      const since = Number(searchParams.get('Watch'));
      watch(res, kind, since, Number(searchParams.get('WaitMs') ?? 0));
      return;
    }
    if (req.method === 'GET' && name === '') {
      const items = [...getKind(kind).values()];
      send(res, 200, {items, HasMore: false, StoreRevision: revision});
      return;
    }
    if (req.method === 'GET') {
      send(res, current === undefined ? 404 : 200, current);
      return;
    }
    const body = await readBody(req);
    if (req.method === 'POST') {
      const {meta, spec} = body;
      const known = getKind(kind).get(meta.Name);
      send(
        res,
        known === undefined ? 200 : 409,
        known ?? put(kind, meta.Name, spec),
      );
      return;
    }
    // The object may have changed while the body arrived.
    const target = getKind(kind).get(name);
    if (target === undefined) {
      send(res, 404);
      return;
    }
    if (req.method === 'PUT') {
      const isRefused = isConflict(body.meta, target);
      send(
        res,
        isRefused ? 409 : 200,
        isRefused ? target : put(kind, name, body.spec),
      );
      return;
    }
    remove(kind, name);
    send(res, 200, {});
  };

  const store = createServer((req, res) => {
    handle(req, res).catch(() => send(res, 400));
  });
  const storePort = await listen(store);

  const control = createServer((req, res) => {
    void readBody(req).then(({Service: service, Id: id}) => {
      const database = databases.find(other => other.service === service);
      const status = database?.failOver(id) ?? 404;
      const holder = req.headers['lacewingroad-duty-holder'];
      const fence = req.headers['lacewingroad-fence-token'];
      recorder.add(
        'FAILOVER',
        `${service} to ${id} by ${holder} fence=${fence}: ${status}`,
      );
      send(res, status, {});
    });
  });
  const controlPort = await listen(control);

  const ping = backend => {
    const {service} = databases.find(({backends}) =>
      backends.includes(backend),
    );
    const state = pings.get(backend.id) ?? {seq: 0, at: 0};
    const next = {
      seq: state.seq + 1,
      at: performance.now(),
      role: backend.role,
    };
    pings.set(backend.id, next);
    put('servers', backend.id, {
      Service: service,
      Addr: backend.address,
      Zone: backend.zone,
      Version: '1',
      Slots: backend.slots,
      State: 'ready',
      ColdLeftMs: 0,
      Seq: next.seq,
      DbRole: backend.role,
      born: backend.born,
    });
  };

  const checkPings = () => {
    const now = performance.now();
    for (const backend of databases.flatMap(({backends}) => backends)) {
      const last = pings.get(backend.id);
      const isDue =
        last === undefined ||
        now - last.at >= HEARTBEAT_MS ||
        last.role !== backend.role;
      if (backend.isUp && isDue) {
        ping(backend);
      }
      const isSilent =
        !backend.isUp && now - last.at >= MISSED_PINGS * HEARTBEAT_MS;
      if (isSilent && getKind('servers').has(backend.id)) {
        remove('servers', backend.id);
        recorder.add('ENTRY', `of ${backend.id} is removed`);
      }
    }
  };
  const timer = setInterval(checkPings, EXPIRY_CHECK_MS);

  return {
    storeAddress: `${LOOPBACK}:${storePort}`,
    controlAddress: `${LOOPBACK}:${controlPort}`,
    put,
    read: (kind, name) => getKind(kind).get(name),
    has: (kind, name) => getKind(kind).has(name),
    /** Registers the backends of a database. */
    addDatabase: (database, slots) => {
      databases.push(database);
      database.backends.forEach(backend => {
        backend.slots = slots;
        ping(backend);
      });
    },
    /** Returns how long ago a backend sent its last ping, in ms. */
    getPingAge: backend => performance.now() - pings.get(backend.id).at,
    /** Returns the host that the record of a group names as its owner. */
    findOwner: group =>
      getKind('poolowners').get(group)?.spec?.owner?.host ?? null,
    close: () => {
      clearInterval(timer);
      for (const server of [store, control]) {
        server.closeAllConnections();
        server.close();
      }
    },
  };
}
