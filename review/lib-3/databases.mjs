/**
 * Stand-ins for the database servers of one service: a primary and its replicas
 * with one log, transactions, session values and prepared statements. A commit
 * is acknowledged once a replica has received it.
 */

import {once} from 'node:events';
import {createServer} from 'node:net';

/** Time of a new connection, and of a read, write or commit, in ms. */
const CONNECT_MS = 12;
const WORK_MS = 4;
/** Time after which replicas have a commit, in ms. */
const REPLICATION_MS = 8;
/** Time of a promotion, in ms. */
const PROMOTE_MS = 600;
/** Interval between two entries in the store, in ms. */
const HEARTBEAT_MS = 1_200;
/** Largest message, in bytes. */
const MAX_MESSAGE = 1_048_576;

function sleep(ms) {
  return new Promise(resolve => setTimeout(resolve, ms));
}

/** Returns a copy of a text that does not hold the line it was cut from. */
function copyText(text) {
  return Buffer.from(text, 'latin1').toString('latin1');
}

/** Splits a text at its first blanks into `count` fields. */
function splitFields(text, count) {
  const fields = [];
  let rest = text;
  while (fields.length < count - 1) {
    const end = rest.indexOf(' ');
    if (end < 0) {
      break;
    }
    fields.push(rest.slice(0, end));
    rest = rest.slice(end + 1);
  }
  return [...fields, rest];
}

/** Length from which the data of an item is kept as its length only. */
const LONG_DATA = 4_096;

/** Starts the servers of a service, one in each zone; the first is primary. */
export async function startService(name, zones, options = {}) {
  const {slots = 2, maxConns = 30, onRun = () => undefined} = options;
  const servers = [];
  let nextReceipt = 1;

  const findPrimary = () =>
    servers
      .filter(({role}) => role === 'primary')
      .reduce((best, other) => (other.term > best.term ? other : best));

  const formatPosition = ({log}) => {
    const last = log.at(-1) ?? {term: 1, index: 0};
    return `${last.term}.${last.index}`;
  };

  const commit = async (server, writes) => {
    const index = (server.log.at(-1)?.index ?? 0) + 1;
    const entry = {term: server.term, index, writes};
    server.log.push(entry);
    await sleep(REPLICATION_MS);
    if (server.role !== 'primary') {
      return false;
    }
    servers
      .filter(({role}) => role === 'replica')
      .forEach(replica => {
        replica.log = [...server.log];
        replica.term = server.term;
      });
    return true;
  };

  const readItem = (server, item) => {
    for (let at = server.log.length - 1; at >= 0; at--) {
      const write = server.log[at].writes.findLast(one => one.item === item);
      if (write !== undefined) {
        return write.data;
      }
    }
    return 'none';
  };

  /** Runs a read or a write; returns the lines of its result. */
  const runItem = async (server, session, id, access, item, data) => {
    if (server.busy >= slots + 16) {
      return ['ERROR BUSY no slot'];
    }
    if (access === 'PUT' && server.role !== 'primary') {
      session.state = session.state === 'T' ? 'E' : session.state;
      return [`ERROR READONLY ${server.id}`];
    }
    server.busy++;
    await sleep(WORK_MS);
    server.busy--;
    onRun({service: name, server: server.id, id, access, item});
    const write = {
      item: copyText(item),
      data: data?.length > LONG_DATA ? `length ${data.length}` : data,
      id: copyText(id),
    };
    const receipt = `DONE ${name}.${server.id}.${nextReceipt++}`;
    if (access === 'FETCH') {
      return [`ROW ${readItem(server, item)}`, receipt];
    }
    if (session.state === 'T') {
      session.writes.push(write);
      return [receipt];
    }
    return (await commit(server, [write])) ? [receipt] : null;
  };

  const handlers = {
    STAT: server => {
      const conns = server.sockets.size;
      const at = formatPosition(server);
      return [
        `ROW ${server.role} ${server.term} ${at} 0 8 ${server.busy} ${conns}`,
        'DONE -',
      ];
    },
    STEPDOWN: (server, session, id, rest) => {
      if (server !== findPrimary() && Number(rest) > server.term) {
        server.role = 'replica';
        server.log = [...findPrimary().log];
      }
      return handlers.STAT(server);
    },
    RESET: (_server, session) => {
      session.values.clear();
      session.prepared.clear();
      return ['DONE -'];
    },
    SET: (_server, session, _id, rest) => {
      const [key, value = ''] = splitFields(rest, 2);
      session.values.set(key, value);
      return ['DONE -'];
    },
    PREPARE: (_server, session, _id, rest) => {
      const [key, access, shape = ''] = splitFields(rest, 3);
      session.prepared.set(key, {access, length: shape.length});
      return ['DONE -'];
    },
    DEALLOC: (_server, session, _id, rest) => {
      session.prepared.delete(rest);
      return ['DONE -'];
    },
    BEGIN: (server, session, _id, rest) => {
      if (rest !== 'FETCH' && server.role !== 'primary') {
        return [`ERROR READONLY ${server.id}`];
      }
      session.state = 'T';
      session.writes = [];
      return ['DONE -'];
    },
    ROLLBACK: (_server, session) => {
      session.state = 'I';
      session.writes = [];
      return ['DONE -'];
    },
    COMMIT: async (server, session, id) => {
      const {writes} = session;
      session.state = 'I';
      session.writes = [];
      if (writes.length > 0 && server.role !== 'primary') {
        return [`ERROR READONLY ${server.id}`];
      }
      await sleep(WORK_MS);
      if (writes.length > 0 && !(await commit(server, writes))) {
        return null;
      }
      onRun({
        service: name,
        server: server.id,
        id,
        access: 'COMMIT',
        item: '-',
      });
      return [`DONE ${name}.${server.id}.${nextReceipt++}`];
    },
    FETCH: (server, session, id, rest) =>
      runItem(server, session, id, 'FETCH', rest, null),
    PUT: (server, session, id, rest) => {
      const [item, data = ''] = splitFields(rest, 2);
      return runItem(server, session, id, 'PUT', item, data);
    },
    EXECUTE: (server, session, id, rest) => {
      const [key, item, data = ''] = splitFields(rest, 3);
      const statement = session.prepared.get(key);
      return statement === undefined
        ? ['ERROR NOSTMT unknown name']
        : runItem(server, session, id, statement.access, item, data);
    },
  };

  const hasPosition = (server, after) => {
    const [term, index] = after.split('.').map(Number);
    const last = server.log.at(-1) ?? {term: 1, index: 0};
    return last.term > term || (last.term === term && last.index >= index);
  };

  const runLine = async (server, session, line) => {
    const [, id, text = ''] = splitFields(line, 3);
    let [word, rest = ''] = splitFields(text, 2);
    if (word === 'AFTER') {
      const [after, inner] = splitFields(rest, 2);
      if (!hasPosition(server, after)) {
        return ['ERROR LAGGING behind'];
      }
      [word, rest = ''] = splitFields(inner, 2);
    }
    const handle = handlers[word];
    return handle === undefined
      ? ['ERROR BADREQ unknown statement']
      : handle(server, session, id, rest);
  };

  const accept = (server, socket) => {
    const session = {
      state: 'I',
      writes: [],
      values: new Map(),
      prepared: new Map(),
    };
    const isTooMany = server.sockets.size >= maxConns;
    server.sockets.add(socket);
    socket.setNoDelay(true);
    socket.on('error', () => undefined);
    socket.on('close', () => server.sockets.delete(socket));
    const connect = async line => {
      const [, service, , id] = line.split(' ');
      await sleep(CONNECT_MS);
      if (service !== name || (id !== undefined && id !== server.id)) {
        socket.end('ERROR MOVED another server\r\n');
        return;
      }
      if (isTooMany) {
        socket.end('ERROR MAXCONN full\r\n');
        return;
      }
      socket.write(`READY I ${formatPosition(server)}\r\n`);
    };
    const serve = async line => {
      if (line.startsWith('CONNECT ')) {
        await connect(line);
        return;
      }
      if (line === 'QUIT') {
        socket.end();
        return;
      }
      const lines = await runLine(server, session, line);
      if (lines !== null) {
        const ready = `READY ${session.state} ${formatPosition(server)}`;
        socket.write(`${[...lines, ready].join('\r\n')}\r\n`, 'latin1');
      }
    };
    let pending = Promise.resolve();
    let partial = [];
    let length = 0;
    socket.on('data', chunk => {
      partial.push(chunk);
      length += chunk.length;
      if (!chunk.includes('\n') && length <= MAX_MESSAGE + 2) {
        return;
      }
      const lines = Buffer.concat(partial).toString('latin1').split('\r\n');
      const last = lines.pop();
      partial = [Buffer.from(last, 'latin1')];
      length = last.length;
      if (length > MAX_MESSAGE) {
        socket.destroy();
        return;
      }
      for (const line of lines) {
        pending = pending.then(() => serve(line));
      }
    });
  };

  for (const [number, zone] of zones.entries()) {
    const server = {
      id: `i-${name}-${number + 1}`,
      zone,
      role: number === 0 ? 'primary' : 'replica',
      term: 1,
      log: [],
      busy: 0,
      sockets: new Set(),
      listener: null,
      address: '',
      born: Math.floor(Date.now()),
    };
    server.listener = createServer(socket => accept(server, socket));
    server.listener.listen(0, '127.0.0.1');
    await once(server.listener, 'listening');
    server.address = `127.0.0.1:${server.listener.address().port}`;
    servers.push(server);
  }

  let timer = null;
  return {
    name,
    servers,
    findPrimary,
    /** Writes the entries of the servers, again and again. */
    register: store => {
      let sequence = 0;
      const report = () => {
        sequence++;
        for (const {id, zone, role, address, born} of servers) {
          store.put('servers', id, {
            Service: name,
            Addr: address,
            Zone: zone,
            Version: 'v1',
            Slots: slots,
            State: 'ready',
            ColdLeftMs: 0,
            DbRole: role,
            Seq: sequence,
            born,
          });
        }
      };
      report();
      timer = setInterval(report, HEARTBEAT_MS);
    },
    promote: id => {
      const next = servers.find(server => server.id === id);
      if (next === undefined) {
        return false;
      }
      setTimeout(() => {
        const before = findPrimary();
        if (before === next) {
          return;
        }
        next.role = 'primary';
        next.term = before.term + 1;
        setTimeout(() => {
          before.role = 'replica';
          before.term = next.term;
          before.log = [...next.log];
        }, 1_000).unref();
      }, PROMOTE_MS).unref();
      return true;
    },
    close: () => {
      clearInterval(timer);
      for (const {listener, sockets} of servers) {
        listener.close();
        sockets.forEach(socket => socket.destroy());
      }
    },
  };
}
