/**
 * A client has a transaction open when its host gets SIGTERM, and ends it within
 * the first half of the grace period.
 */

import {fileURLToPath} from 'node:url';
import {openSession} from '../lib-3/client.mjs';
import {createRecord, sleep, startDeployment} from '../lib-3/deployment.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const RECORD = fileURLToPath(new URL('record.txt', import.meta.url));
/** Half of `GraceS`, 6 s. */
const HALF_GRACE_MS = 3_000;
/** Pause between two statements of a transaction, in ms; `TxIdleMs` is 3,000. */
const PAUSE_MS = 600;
/** Writes after SIGTERM and before the commit. */
const LATER_WRITES = 3;
/** Transactions that are open at the same time. */
const TRANSACTIONS = 2;

const log = createRecord(RECORD);

/** Runs a statement, and records it with its answer. */
async function ask(session, host, id, text, stoppedAt) {
  const sentMs = Math.round(performance.now() - stoppedAt);
  const answer = await session.ask(id, text);
  log(
    `${host.name} ${id} ${text}, sent ${sentMs} ms after the stop: ` +
      `${answer.word} ${answer.text}`,
  );
  return {...answer, sentMs};
}

/** Plays the case; returns its exit code. */
async function play() {
  const ran = new Set();
  const deployment = await startDeployment({
    log,
    onRun: ({server, id, access}) => {
      ran.add(id);
      log(`run ${server} ${access} ${id}`);
    },
  });
  if (deployment === null) {
    return 2;
  }
  const host = deployment.findOwner();
  host.isRestarted = false;
  const sessions = [];
  for (let number = 1; number <= TRANSACTIONS; number++) {
    const {session} = await openSession(host, 'lutto');
    const now = performance.now();
    await ask(session, host, `b${number}`, 'BEGIN', now);
    const {word} = await ask(
      session,
      host,
      `w${number}-0`,
      `PUT rush-${number} a`,
      now,
    );
    if (word !== 'DONE') {
      await deployment.close();
      return 2;
    }
    sessions.push(session);
  }
  const stoppedAt = performance.now();
  if (HAS_TROUBLE) {
    log(`SIGTERM to ${host.name}`);
    host.child.kill('SIGTERM');
  }
  const commits = await Promise.all(
    sessions.map(async (session, index) => {
      for (let count = 1; count <= LATER_WRITES; count++) {
        await sleep(PAUSE_MS);
        const id = `w${index + 1}-${count}`;
        await ask(
          session,
          host,
          id,
          `PUT rush-${index + 1}-${count} a`,
          stoppedAt,
        );
      }
      await sleep(PAUSE_MS / 2);
      return ask(session, host, `c${index + 1}`, 'COMMIT', stoppedAt);
    }),
  );
  await deployment.close();
  const early = commits.filter(({sentMs}) => sentMs < HALF_GRACE_MS);
  if (early.length < TRANSACTIONS) {
    log('a commit was sent too late');
    return 2;
  }
  const lost = early.filter(({word}) => word !== 'DONE');
  log(
    lost.length > 0
      ? `BROKEN DRAIN: ${lost.length} of ${TRANSACTIONS} open transactions were ended before ${HALF_GRACE_MS} ms`
      : 'held',
  );
  return lost.length > 0 ? 1 : 0;
}

process.exitCode = await play();
