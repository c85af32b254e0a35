/**
 * A replicated database that speaks the line protocol: one primary, replicas
 * that receive each commit over the network and apply it later.
 */

import {createServer} from 'node:net';
import {LOOPBACK, listen, readLines, sleep, splitFirst} from './net.mjs';

/** One way between two backends, in ms. */
const NETWORK_MS = 1.4;
/** Time in which an old primary steps down once it reaches the new one, ms. */
const SELF_STEPDOWN_MS = 1_000;
/** Waiting statements beyond which a backend answers BUSY. */
const MAX_QUEUE = 24;

function formatPosition(entry) {
  return `${entry.term}.${entry.number}`;
}

function parsePosition(text) {
  const [term, number] = text.split('.').map(Number);
  return {term, number};
}

function hasPosition(last, wanted) {
  return last.term === wanted.term
    ? last.number >= wanted.number
    : last.term > wanted.term;
}

/**
 * Starts a database.
 *
 * @param {object} cfg `service`, `zones` (one backend each, the first is the
 *   primary), `slots`, `maxConns`, `sync`, `lagMs`, `promoteMs`,
 *   `handshakeMs`, `getWorkMs(access)`, `recorder`; optional callbacks
 *   `onTaken(id, backend)`, `onRun(run)` and `onPromoted(backend)`.
 */
export async function startDatabase(cfg) {
  const {service, recorder} = cfg;
  const backends = [];
  let nextReceipt = 1;

  const findLast = ({log}) => log.at(-1) ?? {term: 1, number: 0};
  const findLeader = () =>
    backends
      .filter(({role, isUp}) => role === 'primary' && isUp)
      .reduce((best, other) => (best?.term > other.term ? best : other), null);

  /** Copies the leader's log to a replica, which then confirms and applies. */
  const replicate = async (leader, replica) => {
    const length = leader.log.length;
    await sleep(NETWORK_MS);
    const isConnected =
      leader.isUp &&
      replica.isUp &&
      !replica.isDeaf &&
      replica.role === 'replica';
    if (!isConnected || replica.leader !== leader) {
      return;
    }
    if (length > replica.log.length) {
      replica.log = leader.log.slice(0, length);
    }
    void sleep(cfg.lagMs).then(() => {
      replica.applied = Math.min(
        replica.log.length,
        Math.max(replica.applied, length),
      );
    });
    await sleep(NETWORK_MS);
    leader.received.set(replica.id, length);
    leader.waiters.forEach(wake => wake());
  };

  const follow = (replica, leader) => {
    replica.role = 'replica';
    replica.term = leader.term;
    replica.leader = leader;
    let common = 0;
    while (
      common < Math.min(replica.log.length, leader.log.length) &&
      replica.log[common] === leader.log[common]
    ) {
      common++;
    }
    replica.log = replica.log.slice(0, common);
    replica.applied = Math.min(replica.applied, common);
    replica.waiters.forEach(wake => wake());
    void replicate(leader, replica);
  };

  /** Resolves to whether enough replicas have received the commit. */
  const waitForReplicas = (leader, length) =>
    new Promise(resolve => {
      const check = () => {
        const count = [...leader.received.values()].filter(
          received => received >= length,
        ).length;
        const isLost = !leader.isUp || leader.role !== 'primary';
        if (count >= cfg.sync || isLost) {
          leader.waiters.delete(check);
          resolve(!isLost);
        }
      };
      leader.waiters.add(check);
      check();
    });

  const commit = async (backend, id, writes) => {
    const {term} = backend;
    const number = findLast(backend).number + 1;
    backend.log.push({term, number, id, writes});
    backend.applied = backend.log.length;
    const {length} = backend.log;
    backends
      .filter(other => other !== backend)
      .forEach(other => void replicate(backend, other));
    return waitForReplicas(backend, length);
  };

  const readItem = ({log, applied}, item) => {
    for (let i = applied - 1; i >= 0; i--) {
      const write = log[i].writes.findLast(({item: other}) => other === item);
      if (write !== undefined) {
        return write.data;
      }
    }
    return '-';
  };

  /** Takes a slot, in the order of arrival; returns false if too many wait. */
  const takeSlot = async backend => {
    if (backend.busy >= cfg.slots) {
      if (backend.queue.length >= MAX_QUEUE) {
        return false;
      }
      await new Promise(resolve => backend.queue.push(resolve));
      return true;
    }
    backend.busy++;
    return true;
  };

  const freeSlot = backend => {
    const next = backend.queue.shift();
    if (next === undefined) {
      backend.busy--;
      return;
    }
    next();
  };

  const inSlot = async (backend, ms, run) => {
    if (!(await takeSlot(backend))) {
      return ['ERROR BUSY no slot'];
    }
    try {
      await sleep(ms);
      return await run();
    } finally {
      freeSlot(backend);
    }
  };

  const ok = (...rows) => [
    ...rows.map(row => `ROW ${row}`),
    `DONE r${nextReceipt++}`,
  ];

  const stat = backend => {
    const {role, term} = backend;
    const received = formatPosition(findLast(backend));
    const lag = role === 'primary' ? 0 : cfg.lagMs;
    const conns = backend.sessions.size;
    return `${role} ${term} ${received} ${term} ${lag} ${backend.busy} ${conns}`;
  };

  /** Runs a read or write that is known to be allowed; returns lines or null. */
  const runData = (backend, session, id, statement) => {
    const {access, item, data, shape, text} = statement;
    const needsPrimary = access === 'write';
    if (needsPrimary && backend.role !== 'primary') {
      return ['ERROR READONLY not the primary'];
    }
    return inSlot(backend, cfg.getWorkMs(access), async () => {
      if (needsPrimary && backend.role !== 'primary') {
        return ['ERROR READONLY not the primary'];
      }
      const values = [...session.values].map(pair => pair.join('=')).join();
      recorder.add(
        'RUN',
        `${id} at ${backend.id} conn=${session.number} state=${session.state} shape=${shape ?? '-'} values=${values} log=${formatPosition(findLast(backend))}: ${text}`,
      );
      cfg.onRun?.({id, backend, session, statement});
      if (access === 'read') {
        return ok(
          `${shape === undefined ? '' : `${shape}/`}${readItem(backend, item)}`,
        );
      }
      if (session.state === 'T') {
        session.writes.push({item, data});
        return ok();
      }
      return (await commit(backend, id, [{item, data}])) ? ok() : null;
    });
  };

  const parseData = (session, text) => {
    const [word, rest] = splitFirst(text);
    if (word === 'FETCH') {
      return {access: 'read', item: rest, text};
    }
    if (word === 'PUT') {
      const [item, data] = splitFirst(rest);
      return {access: 'write', item, data, text};
    }
    if (word !== 'EXECUTE') {
      return null;
    }
    const [name, args] = splitFirst(rest);
    const [item, data] = splitFirst(args);
    const prepared = session.prepared.get(name);
    return prepared === undefined ? 'NOSTMT' : {...prepared, item, data, text};
  };

  const HANDLERS = {
    // A status probe takes a free slot, or is answered with BUSY.
    STAT: ({backend}) =>
      backend.busy < cfg.slots
        ? inSlot(backend, 0, () => ok(stat(backend)))
        : ['ERROR BUSY no slot'],
    STEPDOWN: ({backend, rest}) => {
      const leader = findLeader();
      if (Number(rest) > backend.term && backend.role === 'primary') {
        recorder.add('STEPDOWN', `${backend.id} to term ${rest}`);
        follow(backend, leader ?? backend);
        backend.term = Number(rest);
      }
      return ok(stat(backend));
    },
    RESET: ({session}) => {
      session.values.clear();
      session.prepared.clear();
      return ['DONE -'];
    },
    SET: ({session, rest}) => {
      const [name, value] = splitFirst(rest);
      session.values.set(name, value);
      return ['DONE -'];
    },
    PREPARE: ({session, rest}) => {
      const [name, after] = splitFirst(rest);
      const [word, shape] = splitFirst(after);
      const access = {FETCH: 'read', PUT: 'write'}[word];
      if (access === undefined) {
        return ['ERROR BADREQ not a statement'];
      }
      session.prepared.set(name, {access, shape});
      return ['DONE -'];
    },
    DEALLOC: ({session, rest}) =>
      session.prepared.delete(rest)
        ? ['DONE -']
        : ['ERROR NOSTMT no such name'],
    BEGIN: ({backend, session, rest}) => {
      if (session.state !== 'I') {
        return ['ERROR BADREQ in a transaction'];
      }
      if (rest !== 'FETCH' && backend.role !== 'primary') {
        return ['ERROR READONLY not the primary'];
      }
      session.state = 'T';
      session.isReadOnly = rest === 'FETCH';
      session.writes = [];
      return ['DONE -'];
    },
    ROLLBACK: ({session}) => {
      session.state = 'I';
      session.writes = [];
      return ['DONE -'];
    },
    COMMIT: ({backend, session, id}) => {
      const {writes} = session;
      const isLost = backend.role !== 'primary' && !session.isReadOnly;
      if (session.state !== 'T' || (isLost && writes.length > 0)) {
        session.state = 'I';
        return ['ERROR READONLY lost the lead'];
      }
      return inSlot(backend, cfg.getWorkMs('commit'), async () => {
        session.state = 'I';
        session.writes = [];
        recorder.add(
          'RUN',
          `${id} at ${backend.id} conn=${session.number}: COMMIT`,
        );
        cfg.onRun?.({id, backend, session, statement: {text: 'COMMIT'}});
        if (writes.length === 0) {
          return ok();
        }
        return (await commit(backend, id, writes)) ? ok() : null;
      });
    },
  };

  const answer = async (backend, session, id, fullText) => {
    let text = fullText;
    if (text.startsWith('AFTER ')) {
      const [position, rest] = splitFirst(text.slice('AFTER '.length));
      const last = backend.log[backend.applied - 1] ?? {term: 1, number: 0};
      if (!hasPosition(last, parsePosition(position))) {
        return ['ERROR LAGGING behind'];
      }
      text = rest;
    }
    const [word, rest] = splitFirst(text);
    if (Object.hasOwn(HANDLERS, word)) {
      return HANDLERS[word]({backend, session, id, rest});
    }
    const statement = parseData(session, text);
    if (statement === null) {
      return ['ERROR BADREQ not a statement'];
    }
    return statement === 'NOSTMT'
      ? ['ERROR NOSTMT no such name']
      : runData(backend, session, id, statement);
  };

  let nextSession = 1;
  const accept = (backend, socket) => {
    const session = {
      number: nextSession++,
      socket,
      state: 'I',
      isReadOnly: false,
      isOpen: false,
      values: new Map(),
      prepared: new Map(),
      writes: [],
    };
    backend.sessions.add(session);
    socket.on('close', () => backend.sessions.delete(session));
    let pending = Promise.resolve();

    const connect = async rest => {
      const [name, , id] = rest.split(' ');
      if (name !== service || (id !== undefined && id !== backend.id)) {
        socket.end('ERROR MOVED another backend\r\n');
        return;
      }
      if (backend.sessions.size > cfg.maxConns) {
        socket.end('ERROR MAXCONN too many\r\n');
        return;
      }
      await inSlot(backend, cfg.handshakeMs, () => []);
      session.isOpen = true;
      socket.write(`READY I ${formatPosition(findLast(backend))}\r\n`);
    };

    const serve = async line => {
      if (!backend.isUp || socket.destroyed) {
        return;
      }
      const [word, rest] = splitFirst(line);
      if (!session.isOpen) {
        await (word === 'CONNECT' ? connect(rest) : socket.destroy());
        return;
      }
      const [id, text] = splitFirst(rest);
      cfg.onTaken?.(id, backend);
      const lines = await answer(backend, session, id, text);
      if (lines === null || !backend.isUp || socket.destroyed) {
        socket.destroy();
        return;
      }
      const ready = `READY ${session.state} ${formatPosition(findLast(backend))}`;
      socket.write(`${[...lines, ready].join('\r\n')}\r\n`);
    };

    readLines(socket, line => {
      pending = pending.then(() => serve(line));
    });
  };

  for (const [index, zone] of cfg.zones.entries()) {
    const backend = {
      id: `i-${service}-${index + 1}`,
      zone,
      role: index === 0 ? 'primary' : 'replica',
      term: 1,
      log: [],
      applied: 0,
      leader: null,
      isUp: true,
      isDeaf: false,
      received: new Map(),
      waiters: new Set(),
      sessions: new Set(),
      busy: 0,
      queue: [],
      born: Date.now(),
    };
    backend.server = createServer(socket => accept(backend, socket));
    backend.port = await listen(backend.server);
    backend.address = `${LOOPBACK}:${backend.port}`;
    backends.push(backend);
  }
  backends.slice(1).forEach(replica => {
    replica.leader = backends[0];
  });

  /** The backend leads the next term with what it has received by then. */
  const takeLead = target => {
    if (!target.isUp) {
      return;
    }
    target.role = 'primary';
    target.term = Math.max(...backends.map(({term}) => term)) + 1;
    target.leader = null;
    target.applied = target.log.length;
    target.received.clear();
    recorder.add(
      'PROMOTED',
      `${target.id} term=${target.term} log=${formatPosition(findLast(target))}`,
    );
    cfg.onPromoted?.(target);
    for (const other of backends.filter(backend => backend !== target)) {
      const delayMs = other.role === 'primary' ? SELF_STEPDOWN_MS : NETWORK_MS;
      void sleep(delayMs).then(() => {
        if (other.isUp && other.term < target.term) {
          follow(other, target);
        }
      });
    }
  };

  const database = {
    service,
    backends,
    findLeader,
    /** Answers a call of POST /failover with an HTTP status. */
    failOver: id => {
      const target = backends.find(backend => backend.id === id);
      if (target?.isUp !== true) {
        return 409;
      }
      if (target !== findLeader()) {
        void sleep(cfg.promoteMs).then(() => takeLead(target));
      }
      return 200;
    },
    /** The backend's process ends. */
    crash: backend => {
      recorder.add('CRASH', backend.id);
      backend.isUp = false;
      backend.server.close();
      backend.sessions.forEach(({socket}) => socket.resetAndDestroy());
      backend.waiters.forEach(wake => wake());
    },
    /** The backend's process starts again, with its log. */
    start: async backend => {
      backend.server = createServer(socket => accept(backend, socket));
      await listen(backend.server, backend.port);
      backend.isUp = true;
      backend.born = Date.now();
      const leader = findLeader();
      if (leader !== null && leader !== backend) {
        follow(backend, leader);
      }
      recorder.add('START', `${backend.id} as ${backend.role}`);
    },
    /** The backend receives nothing from its primary, until it is undone. */
    setDeaf: (backend, isDeaf) => {
      recorder.add(isDeaf ? 'DEAF' : 'HEARS', backend.id);
      backend.isDeaf = isDeaf;
      if (!isDeaf && backend.leader !== null) {
        void replicate(backend.leader, backend);
      }
    },
    close: () => {
      backends.forEach(backend => {
        backend.isUp = false;
        backend.server.close();
        backend.sessions.forEach(({socket}) => socket.destroy());
      });
    },
  };
  return database;
}
