/**
 * Stand-ins for the databases of one service, on loopback: one primary and its
 * replicas, which speak the wire protocol of the users' pages. A commit is
 * confirmed once a replica has received it. Each connection has its own session
 * values, prepared statements and transaction.
 */

import {once} from 'node:events';
import {createServer} from 'node:net';

/** Time that a read, a write or a commit takes, in ms. */
const WORK_MS = 3;
/** Time that a new connection takes, in ms. */
const CONNECT_MS = 12;
/** Time until a replica has received a commit, in ms. */
const LAG_MS = 5;
/** Time from a promotion call until it takes effect, in ms. */
const PROMOTE_MS = 600;
/** Time after which a replaced primary steps down by itself, in ms. */
const STEP_DOWN_MS = 1_000;

const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

/** Compares two positions by term, then by number. */
function isBehind(log, term, index) {
  const last = log.at(-1) ?? {term: 1, index: 0};
  return last.term < term || (last.term === term && last.index < index);
}

function formatPosition(endpoint) {
  const last = endpoint.log.at(-1) ?? {term: endpoint.term, index: 0};
  return `${last.term}.${last.index}`;
}

/** Gives a replica all commits of its primary, and no others. */
function copyLog(primary, replica) {
  if (replica.role === 'replica' && replica.term <= primary.term) {
    replica.term = primary.term;
    replica.log = [...primary.log];
  }
}

/** Interval at which replicas follow the newest primary that they reach, in ms. */
const FOLLOW_MS = 50;

/**
 * Starts a group. `record` is called with what each statement of a client ran
 * with, and with each change of primary; `findFault` returns the error that
 * answers a statement which is not run, or null.
 */
export async function startGroup(
  name,
  {count = 3, slots = 3, record = () => undefined, findFault = () => null} = {},
) {
  const endpoints = [];
  const servers = [];
  const sockets = new Set();
  let nextConn = 1;
  let receipts = 0;

  const findPrimary = () =>
    endpoints
      .filter(({role}) => role === 'primary')
      .reduce((best, other) => (other.term > best.term ? other : best));

  const canReach = (a, b) => !a.cutFrom.has(b.id) && !b.cutFrom.has(a.id);

  /** Each commit, by the ids of its writes. */
  const origins = new Map();
  /** Promotions that took effect. */
  const leads = [];

  const commit = async (endpoint, writes) => {
    const last = endpoint.log.at(-1);
    const entry = {term: endpoint.term, index: (last?.index ?? 0) + 1, writes};
    endpoint.log.push(entry);
    const at = performance.now();
    writes.forEach(id => origins.set(id, {endpoint: endpoint.id, entry, at}));
    for (;;) {
      await sleep(LAG_MS);
      if (endpoint.role !== 'primary') {
        return false;
      }
      const followers = endpoints.filter(
        other => other !== endpoint && canReach(endpoint, other),
      );
      followers.forEach(other => copyLog(endpoint, other));
      if (followers.some(({log}) => log.includes(entry))) {
        return true;
      }
    }
  };

  const formatStatus = endpoint => {
    const {role, term, conns} = endpoint;
    return `${role} ${term} ${formatPosition(endpoint)} 0 ${LAG_MS} 0 ${conns.size}`;
  };

  /** Runs a read or a write of a client; returns its rows or an error code. */
  const access = async (endpoint, session, id, kind, item) => {
    if (kind === 'PUT' && endpoint.role !== 'primary') {
      return {error: 'READONLY not the primary'};
    }
    await sleep(WORK_MS);
    const isInTx = session.state === 'T';
    record({
      group: name,
      endpoint: endpoint.id,
      conn: session.conn,
      id,
      kind,
      item,
      position: formatPosition(endpoint),
      values: Object.fromEntries(session.values),
    });
    if (kind === 'PUT') {
      if (isInTx) {
        session.writes.push(id);
      } else if (!(await commit(endpoint, [id]))) {
        return null;
      }
    }
    return {rows: kind === 'FETCH' ? [`row-${item}`] : []};
  };

  /** Runs a statement; returns null if it has no answer. */
  const run = async (endpoint, session, id, text) => {
    const [, term, index, statement] = /^(?:AFTER (\d+)\.(\d+) )?(.*)$/s.exec(
      text,
    );
    const [word, first = '', second = '', ...rest] = statement.split(' ');
    const lacks =
      term !== undefined && isBehind(endpoint.log, Number(term), Number(index));
    if (lacks) {
      return {error: 'LAGGING behind'};
    }
    const fault = findFault(endpoint, word);
    if (fault !== null) {
      return {error: fault};
    }
    switch (word) {
      case 'STAT':
        return {rows: [formatStatus(endpoint)], receipt: '-'};
      case 'STEPDOWN':
        if (endpoint.term < Number(first)) {
          endpoint.role = 'replica';
        }
        return {rows: [formatStatus(endpoint)], receipt: '-'};
      case 'RESET':
        session.values.clear();
        session.prepared.clear();
        return {receipt: '-'};
      case 'SET':
        session.values.set(first, [second, ...rest].join(' '));
        return {receipt: '-'};
      case 'PREPARE':
        session.prepared.set(first, {kind: second, shape: rest.join(' ')});
        return {receipt: '-'};
      case 'DEALLOC':
        session.prepared.delete(first);
        return {receipt: '-'};
      case 'BEGIN':
        if (first !== 'FETCH' && endpoint.role !== 'primary') {
          return {error: 'READONLY not the primary'};
        }
        session.state = 'T';
        return {receipt: '-'};
      case 'ROLLBACK':
        session.state = 'I';
        session.writes = [];
        return {receipt: '-'};
      case 'COMMIT': {
        const {writes} = session;
        session.state = 'I';
        session.writes = [];
        await sleep(WORK_MS);
        const isLost = writes.length > 0 && !(await commit(endpoint, writes));
        return isLost ? null : {};
      }
      case 'EXECUTE': {
        const prepared = session.prepared.get(first);
        return prepared === undefined
          ? {error: 'NOSTMT no such name'}
          : access(endpoint, session, id, prepared.kind, second);
      }
      case 'FETCH':
      case 'PUT':
        return access(endpoint, session, id, word, first);
      default:
        return {error: 'BADREQ no such statement'};
    }
  };

  const formatAnswer = (endpoint, {state}, {rows = [], receipt, error}) => {
    const end =
      error === undefined
        ? `DONE ${receipt ?? `${endpoint.id}.${++receipts}`}`
        : `ERROR ${error}`;
    const lines = [...rows.map(row => `ROW ${row}`), end];
    return `${lines.join('\r\n')}\r\nREADY ${state} ${formatPosition(endpoint)}\r\n`;
  };

  const accept = (endpoint, socket) => {
    const session = {
      conn: nextConn++,
      state: 'I',
      writes: [],
      values: new Map(),
      prepared: new Map(),
    };
    let isOpen = false;
    let partial = [];
    let pending = Promise.resolve();
    socket.on('error', () => undefined);
    socket.setNoDelay(true);
    sockets.add(socket);
    endpoint.conns.add(socket);
    socket.on('close', () => {
      sockets.delete(socket);
      endpoint.conns.delete(socket);
    });

    const serve = async line => {
      const [word, id, ...words] = line.split(' ');
      if (socket.destroyed) {
        return;
      }
      if (!isOpen) {
        await sleep(CONNECT_MS);
        const isMeant = id === name && words[1] === endpoint.id;
        if (word !== 'CONNECT' || !isMeant) {
          socket.end('ERROR MOVED another endpoint\r\n');
          return;
        }
        isOpen = true;
        socket.write(`READY I ${formatPosition(endpoint)}\r\n`);
        return;
      }
      const result = await run(endpoint, session, id, words.join(' '));
      if (result === null) {
        // It lost the lead before the commit was confirmed.
        socket.destroy();
        return;
      }
      if (!socket.destroyed) {
        socket.write(formatAnswer(endpoint, session, result), 'latin1');
      }
    };

    socket.on('data', chunk => {
      partial.push(chunk);
      if (!chunk.includes('\n')) {
        return;
      }
      const lines = Buffer.concat(partial).toString('latin1').split('\r\n');
      partial = [Buffer.from(lines.pop(), 'latin1')];
      for (const line of lines) {
        pending = pending.then(() => serve(line));
      }
    });
  };

  for (let number = 1; number <= count; number++) {
    const endpoint = {
      id: `i-${name}-${number}`,
      role: number === 1 ? 'primary' : 'replica',
      term: 1,
      log: [],
      conns: new Set(),
      cutFrom: new Set(),
    };
    const server = createServer(socket => accept(endpoint, socket));
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    endpoint.address = `127.0.0.1:${server.address().port}`;
    servers.push(server);
    endpoints.push(endpoint);
  }

  /** A second after it can reach the new primary, the old one follows it. */
  const stepDownLater = (before, next) => {
    const timer = setInterval(() => {
      if (!canReach(before, next)) {
        return;
      }
      clearInterval(timer);
      setTimeout(() => {
        if (before.role === 'primary' && before.term < next.term) {
          before.role = 'replica';
          record({group: name, steppedDown: before.id});
        }
      }, STEP_DOWN_MS);
    }, FOLLOW_MS);
    timer.unref();
  };

  const follow = setInterval(() => {
    for (const replica of endpoints.filter(({role}) => role === 'replica')) {
      const [source] = endpoints
        .filter(other => other.role === 'primary' && canReach(other, replica))
        .sort((a, b) => b.term - a.term);
      if (source !== undefined) {
        copyLog(source, replica);
      }
    }
  }, FOLLOW_MS);

  const promote = id => {
    const next = endpoints.find(endpoint => endpoint.id === id);
    if (next === undefined) {
      return false;
    }
    setTimeout(() => {
      const before = findPrimary();
      if (next === before) {
        return;
      }
      next.role = 'primary';
      next.term = Math.max(...endpoints.map(({term}) => term)) + 1;
      leads.push({
        endpoint: next.id,
        term: next.term,
        at: performance.now(),
        held: new Set(next.log.flatMap(({writes}) => writes)),
      });
      record({group: name, lead: next.id, term: next.term});
      stepDownLater(before, next);
    }, PROMOTE_MS);
    return true;
  };

  return {
    name,
    slots,
    endpoints,
    promote,
    findPrimary,
    origins,
    leads,
    close: () => {
      clearInterval(follow);
      sockets.forEach(socket => socket.destroy());
      servers.forEach(server => server.close());
    },
  };
}
