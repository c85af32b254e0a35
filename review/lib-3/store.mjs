/**
 * Stand-in for the platform: its store of objects, and the call that promotes a
 * database server. Revisions are linearizable, and watches wait for changes.
 */

import {once} from 'node:events';
import {createServer} from 'node:http';

/** Time that a call takes, in ms. */
const CALL_MS = 4;
/** Objects in one page of a list. */
const PAGE_SIZE = 500;
/** Time for which an idle connection is kept, in ms. */
const KEEP_ALIVE_MS = 75_000;

/** Reads a request's body as JSON. */
async function readBody(req) {
  const chunks = [];
  for await (const chunk of req) {
    chunks.push(chunk);
  }
  const text = Buffer.concat(chunks).toString('utf8');
  return text === '' ? null : JSON.parse(text);
}

/** Starts the store; `onFailover` returns whether the server is running. */
export async function startStore(onFailover) {
  const kinds = new Map();
  const changes = [];
  const waiting = new Set();
  const failovers = [];
  let revision = 100;

  const getKind = kind => {
    if (!kinds.has(kind)) {
      kinds.set(kind, new Map());
    }
    return kinds.get(kind);
  };

  const note = (kind, object, isDeleted) => {
    changes.push({
      kind,
      revision,
      event: {Object: object, Tombstone: isDeleted},
    });
    [...waiting].forEach(check => check());
  };

  const put = (kind, name, spec) => {
    const before = getKind(kind).get(name);
    if (
      before !== undefined &&
      JSON.stringify(before.spec) === JSON.stringify(spec)
    ) {
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
    note(kind, object, false);
    return object;
  };

  const remove = (kind, name) => {
    const object = getKind(kind).get(name);
    if (object !== undefined) {
      revision++;
      getKind(kind).delete(name);
      note(kind, object, true);
    }
  };

  const answer = (res, status, body) => {
    const text = JSON.stringify(body ?? null);
    res.writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
    });
    res.end(text);
  };

  const list = (res, kind, after) => {
    const names = [...getKind(kind).keys()].sort();
    const left = names.filter(name => name > after);
    const page = left.slice(0, PAGE_SIZE);
    answer(res, 200, {
      items: page.map(name => getKind(kind).get(name)),
      HasMore: page.length < left.length,
      StoreRevision: revision,
    });
  };

  const watch = (res, kind, from, waitMs) => {
    let timer = null;
    const finish = () => {
      clearTimeout(timer);
      waiting.delete(check);
      const events = changes
        .filter(change => change.kind === kind && change.revision > from)
        .map(({event}) => event);
      answer(res, 200, {events, StoreRevision: revision});
    };
    const check = () => {
      if (
        changes.some(change => change.kind === kind && change.revision > from)
      ) {
        finish();
      }
    };
    timer = setTimeout(finish, waitMs);
    waiting.add(check);
    res.on('close', () => {
      clearTimeout(timer);
      waiting.delete(check);
    });
    check();
  };

  const write = (res, method, kind, name, body) => {
    const {meta, spec} = body;
    const key = name ?? meta.Name;
    const current = getKind(kind).get(key);
    if (method === 'POST' && current !== undefined) {
      answer(res, 409, current);
      return;
    }
    if (method === 'PUT' && current === undefined) {
      answer(res, 404, null);
      return;
    }
    if (
      meta.Revision !== undefined &&
      current?.meta.Revision !== meta.Revision
    ) {
      answer(res, 409, current ?? null);
      return;
    }
    answer(res, 200, put(kind, key, spec));
  };

  const handle = async (req, res) => {
    const url = new URL(req.url, 'http://store');
    const [, root, kind, name] = url.pathname
      .split('/')
      .map(decodeURIComponent);
    const body = await readBody(req);
    await new Promise(resolve => setTimeout(resolve, CALL_MS));
    if (root === 'failover') {
      const call = {
        at: performance.now(),
        service: body.Service,
        id: body.Id,
        holder: req.headers['lacewingroad-duty-holder'],
        token: Number(req.headers['lacewingroad-fence-token']),
      };
      failovers.push(call);
      answer(res, onFailover(call.service, call.id) ? 200 : 409, null);
      return;
    }
    if (req.method === 'GET' && name === undefined) {
      const from = url.searchParams.get('Watch');
      if (from === null) {
        list(res, kind, url.searchParams.get('after') ?? '');
        return;
      }
      const waitMs = Number(url.searchParams.get('WaitMs') ?? 0);
      watch(res, kind, Number(from), waitMs);
      return;
    }
    if (req.method === 'GET') {
      const object = getKind(kind).get(name);
      answer(res, object === undefined ? 404 : 200, object ?? null);
      return;
    }
    if (req.method === 'DELETE') {
      remove(kind, name);
      answer(res, 200, null);
      return;
    }
    write(res, req.method, kind, name, body);
  };

  const server = createServer((req, res) => {
    handle(req, res).catch(() => res.destroy());
  });
  server.keepAliveTimeout = KEEP_ALIVE_MS;
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');

  return {
    port: server.address().port,
    put,
    remove,
    read: (kind, name) => getKind(kind).get(name),
    list: kind => [...getKind(kind).values()],
    failovers,
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}
