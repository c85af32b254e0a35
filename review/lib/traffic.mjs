/** Clients that keep a database busy, each with one session at a time. */

import {openSession} from './session.mjs';
import {sleep} from './net.mjs';

const RECONNECT_DELAY_MS = 50;

/**
 * Starts `count` clients of a database. Each calls `operate(session, number)`
 * again and again, on a host that the platform names, until `stop` is called.
 */
export function startClients({fleet, recorder, database, count, operate}) {
  let isStopping = false;
  let nextHost = 0;

  const runClient = async number => {
    let session = null;
    while (!isStopping) {
      if (session === null || session.isClosed()) {
        const hosts = fleet.listInUse();
        const host = hosts[nextHost++ % hosts.length];
        session = await openSession(host, database, recorder);
        if (session === null) {
          await sleep(RECONNECT_DELAY_MS);
          continue;
        }
      }
      await operate(session, number);
    }
    session?.close();
  };
  const clients = Array.from({length: count}, (_, number) => runClient(number));
  return {
    stop: async () => {
      isStopping = true;
      await Promise.race([Promise.all(clients), sleep(4_000)]);
    },
  };
}
