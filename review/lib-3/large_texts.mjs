/**
 * Plays clients that send messages of legal size, one at a time, and counts the
 * processes that end by themselves.
 */

import {openSession} from './client.mjs';
import {
  createRecord,
  readMemoryMb,
  sleep,
  startDeployment,
} from './deployment.mjs';

/** Time for which the clients send at the most, in ms. */
const PLAY_MS = 80_000;
/** Pause before a client connects again, in ms. */
const RECONNECT_MS = 300;
/** Pause of a client after a refusal, in ms. */
const RETRY_MS = 100;
const SAMPLE_MS = 200;
/** The services, and a database of each. */
const SERVICES = ['registro', 'archivio', 'spedizioni'];
const DATABASES = ['bozza', 'bozza2', 'bozza3'];
/** The rule: so many machines, on which processes end so often. */
const MACHINES = 2;
const ENDS = 3;
/** Memory that a process may use by its settings, in MiB. */
const MEMORY_MB = 350;

/**
 * Plays `clients` clients of each database at each host. `runOperation` sends
 * one operation in a session and returns the last answer. Resolves to the exit
 * code of the case.
 */
export async function playLargeTexts(
  recordPath,
  clients,
  runOperation,
  databases = DATABASES,
) {
  const log = createRecord(recordPath);
  const counts = {answered: 0, refused: 0, closed: 0};
  const deployment = await startDeployment({
    log,
    names: SERVICES,
    onRun: ({server, id, access}) => {
      const shown = id.length > 24 ? `${id.slice(0, 8)}.. ${id.length}` : id;
      log(`run ${server} ${access} id ${shown}`);
    },
  });
  if (deployment === null) {
    log('the deployment did not start');
    return 2;
  }
  const {hosts} = deployment;
  const peaks = new Map(hosts.map(({name}) => [name, 0]));
  const deadline = performance.now() + PLAY_MS;
  const isBroken = () =>
    hosts.filter(({ends}) => ends.length >= ENDS).length >= MACHINES;
  const isOver = () => isBroken() || performance.now() >= deadline;

  const watch = async () => {
    while (!isOver()) {
      for (const host of hosts) {
        peaks.set(
          host.name,
          Math.max(peaks.get(host.name), readMemoryMb(host)),
        );
      }
      await sleep(SAMPLE_MS);
    }
  };

  let next = 1;
  const play = async (host, database) => {
    while (!isOver()) {
      const {answer, session} = await openSession(host, database);
      if (answer.state !== 'I') {
        session.close();
        await sleep(RECONNECT_MS);
        continue;
      }
      while (!session.isClosed() && !isOver()) {
        const number = next++;
        const {word} = await runOperation(session, number);
        const kind =
          word === 'DONE'
            ? 'answered'
            : word === 'CLOSED'
              ? 'closed'
              : 'refused';
        counts[kind]++;
        log(`operation ${number} at ${host.name}: ${word}`);
        if (kind === 'refused') {
          await sleep(RETRY_MS);
        }
      }
      session.close();
      await sleep(RECONNECT_MS);
    }
  };

  const plays = hosts.flatMap(host =>
    databases.flatMap(database =>
      Array.from({length: clients}, () => play(host, database)),
    ),
  );
  await Promise.all([watch(), ...plays]);
  const broken = isBroken();
  for (const {name, ends, output} of hosts) {
    const cause = /FATAL ERROR: .*/.exec(output)?.[0] ?? 'none';
    log(
      `${name}: ended by itself ${ends.length} times, peak ` +
        `${Math.round(peaks.get(name))} MiB of ${MEMORY_MB}, last cause: ${cause}`,
    );
  }
  log(`operations: ${JSON.stringify(counts)}`);
  log(broken ? 'BROKEN Fault' : 'held');
  await deployment.close();
  return broken ? 1 : 0;
}
